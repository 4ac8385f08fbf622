"""Tenants: who they are and what they may do."""
