"""Multi-step jobs: specifications, execution state and replication."""
