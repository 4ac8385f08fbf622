"""Settings of processes, and the operators' replicated configuration."""
