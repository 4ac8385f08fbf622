"""Workloads and their tasks."""
