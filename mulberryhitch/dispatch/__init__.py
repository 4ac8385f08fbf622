"""Task placement, run control and worker monitoring at the leader."""
