"""How far an answer had come when its attempt was lost."""

from __future__ import annotations

import pytest

from lagoonlever.decisions.engines.answer_stages import BEGUN_S, AnswerProgress, AnswerStage


@pytest.mark.parametrize(
    ("progress", "stage"),
    [
        (AnswerProgress(), AnswerStage.NOTHING),
        (AnswerProgress(has_bytes=True), AnswerStage.PART_OF_HEAD),
        (AnswerProgress(has_bytes=True, has_head=True), AnswerStage.HEAD),
        (AnswerProgress(has_head=True, has_part_of_event=True), AnswerStage.PART_OF_EVENT),
        (AnswerProgress(has_head=True, events_for_s=0.0), AnswerStage.BEGUN),
        (AnswerProgress(events_for_s=0.0, has_part_of_event=True), AnswerStage.BEGUN),
        (AnswerProgress(has_head=True, events_for_s=BEGUN_S), AnswerStage.FLOWING),
    ],
)
def test_each_stage_of_an_answer_is_told(progress: AnswerProgress, stage: AnswerStage) -> None:
    assert progress.stage is stage
