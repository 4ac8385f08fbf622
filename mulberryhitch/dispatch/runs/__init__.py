"""The exchange with workers: starts, stops, and lists of runs."""
