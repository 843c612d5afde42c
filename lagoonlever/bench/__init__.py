"""Measurements, one module a benchmark."""
