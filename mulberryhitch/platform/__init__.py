"""Adapter to the users' platform: its HTTP interfaces, bodies and settings."""
