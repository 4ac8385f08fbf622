"""Calls between our own processes: Thrift over TCP."""
