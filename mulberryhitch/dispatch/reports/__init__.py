"""What happened to the runs of each queue, for the log."""
