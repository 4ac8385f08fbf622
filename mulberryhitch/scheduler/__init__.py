"""The scheduler of a data centre: replicated state and leader duties."""
