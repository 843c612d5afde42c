"""Crowds of clients that don't behave, beside the faults of the soak."""

from __future__ import annotations

from pathlib import Path

import pytest

from lagoonlever.soak.run import SoakSize
from lagoonlever.tests.soak_tests import play

SIZE = SoakSize(vms=3, engines=4, runners=3, callers=6, length_s=10.0, crowd=40)


@pytest.mark.parametrize("seed", [720001, 720002])
def test_promises_are_kept_while_crowds_come(tmp_path: Path, seed: int) -> None:
    """Guards against a crowd that ends a process as VMs are killed, reload, stop and lose paths."""
    result = play(seed, tmp_path, size=SIZE)
    assert not result.violations, result.violations
