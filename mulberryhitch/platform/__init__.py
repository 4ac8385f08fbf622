"""The users' platform: its names and calls, decoded into our own types."""
