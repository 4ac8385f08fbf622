"""Workloads and their tasks: an aggregate with its own rules."""
