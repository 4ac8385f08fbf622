"""Liveness of the cluster's processes, and their exchange of state."""
