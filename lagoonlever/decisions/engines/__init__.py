"""Scheduling of runs on inference engines, measured timings, failures and poison requests."""
