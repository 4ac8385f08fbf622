"""Settings of processes, and the configuration that operators change."""
