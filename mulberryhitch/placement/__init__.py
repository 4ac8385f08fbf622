"""Placement of tasks on workers; can be imported on its own."""
