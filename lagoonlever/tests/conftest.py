"""Settings of all tests: hypothesis draws the same examples in every run, in bounded time."""

from __future__ import annotations

from hypothesis import Phase, settings

settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    database=None,
    # Shrinking a failed history can take longer than all tests; the profile
    # "shrink" looks for the shortest one by hand.
    phases=(Phase.explicit, Phase.generate),
)
settings.register_profile("shrink", derandomize=True, deadline=None, database=None)
settings.load_profile("ci")
