"""A data centre's scheduler: its replicated state, and its leader's work."""
