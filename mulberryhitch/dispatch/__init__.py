"""Task placement, run control and worker monitoring, done by the leader."""
