"""HTTP interface for callers, operators, workers and backend servers."""
