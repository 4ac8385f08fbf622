"""Stand-ins for what is outside: workers and backend servers."""
