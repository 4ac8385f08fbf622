"""The HTTP interface for callers, operators, workers, backend servers."""
