"""Tenants: authentication and permissions."""
