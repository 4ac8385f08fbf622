"""Measurements, one command each: ``python -m benchmarks.NAME``."""
