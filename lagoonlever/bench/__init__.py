"""Measurements, one module a benchmark; each runs its baseline in the same run.

A benchmark is a function registered by ``report.benchmark``, which takes
``BenchOptions`` and gives a ``BenchResult``.
"""
