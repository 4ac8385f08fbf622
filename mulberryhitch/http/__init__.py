"""HTTP interface for clients, operators, workers and backend servers."""
