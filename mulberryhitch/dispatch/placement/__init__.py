"""Which waiting steps start, where, and which runs make room for them."""
