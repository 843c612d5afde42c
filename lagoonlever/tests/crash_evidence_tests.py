"""What counts as evidence that an engine that was lost has crashed."""

from __future__ import annotations

import pytest

from lagoonlever.decisions.engines.crash_evidence import CLOSED_NEEDED, Fate, LossSigns, judge_loss


@pytest.mark.parametrize(
    ("signs", "fate"),
    [
        (LossSigns(), Fate.UNKNOWN),
        (LossSigns(answers=True), Fate.LIVES),
        (LossSigns(answers=True, takes_no_connection=True), Fate.LIVES),
        (LossSigns(answers=True, is_other_process=True), Fate.GONE),
        (LossSigns(takes_no_connection=True), Fate.GONE),
        (LossSigns(is_replaced=True), Fate.GONE),
        (LossSigns(is_reported=True), Fate.GONE),
        (LossSigns(closed_connections=CLOSED_NEEDED - 1), Fate.UNKNOWN),
        (LossSigns(closed_connections=CLOSED_NEEDED), Fate.GONE),
    ],
)
def test_a_loss_counts_only_with_evidence(signs: LossSigns, fate: Fate) -> None:
    assert judge_loss(signs) is fate
