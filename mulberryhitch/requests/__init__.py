"""Requests to backend servers: queues, slots, retries, the ledger."""
