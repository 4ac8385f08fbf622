"""Stand-ins for external components: workers and backend servers."""
