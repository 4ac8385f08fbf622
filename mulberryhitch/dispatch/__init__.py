"""The leader's work: what starts where, and how each run ended."""
