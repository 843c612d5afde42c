"""Calls of application services: dispatch, keys, lookups, rests."""
