"""Workers, and the leases under which they run tasks."""
