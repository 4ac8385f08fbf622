"""Workers, and the leases that allow them to run tasks."""
