"""Decides which submitted jobs are refused because they would be too late."""
