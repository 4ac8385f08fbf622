"""Which task starts where, and in which order: importable by itself."""
