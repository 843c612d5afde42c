"""Idempotency keys: decide which VM may run a request that must run at most once."""
