"""A short play of a sheet's shape over real processes, held against all that its judges know."""

from __future__ import annotations

from pathlib import Path

import pytest
import trio

from lagoonlever.fakes.platform_engine import DeathStage
from lagoonlever.tests.incident_plays import OWN_CODE
from lagoonlever.tests.incident_run import PlayOrder, PlayResult, run_play

SHARE = 0.25
"""Of the sheet's rates: a test may share its machine."""


def test_a_part_that_ends_engines_before_their_heads_breaks_no_rule_at_nine_vms(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Ends before the head of an answer were held against no part, until no engine was left."""
    monkeypatch.setenv("PYTHONPATH", str(OWN_CODE))
    order = PlayOrder(
        shape="sembrani",
        play="plain",
        seed=7001,
        code=OWN_CODE,
        stage=DeathStage.BEFORE_HEAD,
        parts=1,
        share=SHARE,
        length_s=12.0,
    )

    async def run() -> PlayResult:
        return await run_play(order, tmp_path)

    result = trio.run(run)
    assert result.findings == ()
    assert result.counts["ended by deadly-part-0"] > 0
