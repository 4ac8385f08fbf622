"""Which workers may run a step: requests to the permit service."""
