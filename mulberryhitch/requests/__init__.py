"""Requests to backend servers: queues, slots, retries and the ledger."""
