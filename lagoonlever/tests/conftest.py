"""Settings of all tests: hypothesis draws the same examples in every run."""

from __future__ import annotations

from hypothesis import settings

settings.register_profile("same-every-run", derandomize=True, deadline=None, database=None)
settings.load_profile("same-every-run")
