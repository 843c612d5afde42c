"""Decisions that follow from an engine's report of its planned stop and of its queue."""

from __future__ import annotations

import msgspec
import pytest

from lagoonlever.decisions.engines.engine_reports import (
    MIN_SILENCE_S,
    is_preempted,
    leaves_before_run_ends,
    should_leave_queue,
)
from lagoonlever.decisions.settings.mechanisms import MECHANISMS
from lagoonlever.decisions.streams.copy_policy import LAST_COPY_LEAD_S, CopyPolicy
from lagoonlever.gateway.messages import EngineReport
from lagoonlever.platform.engine_calls import Report, read_report

TOTAL = 55_000


def parse_report(body: bytes) -> EngineReport:
    return read_report(msgspec.json.decode(body, type=Report))


def test_a_report_has_the_time_of_the_stop_and_the_first_prompt_in_the_queue() -> None:
    report = parse_report(b'{"leaves_ms": 2500, "Next": 5200, "KvUsed": 52000, "KvTotal": 55000}')
    assert report.leaves_in_s == 2.5 and report.first_waiting == 5_200
    assert not report.leaves


@pytest.mark.parametrize("odd", ["null", '"soon"', "-1", "true", "{}"])
def test_invalid_values_do_not_invalidate_a_report(odd: str) -> None:
    """Guards against an engine taken for lost because its report could not be parsed."""
    report = parse_report(f'{{"leaves_ms": {odd}, "Next": {odd}, "Queued": 2}}'.encode())
    assert report.leaves_in_s is None and report.first_waiting is None
    assert report.waiting == 2


def test_an_engine_that_stops_within_a_run_receives_no_new_one() -> None:
    """Guards against a prefill at an engine that stops before the answer ends."""
    assert leaves_before_run_ends(3.0, prefill_s=1.2, decode_s=4.0)
    assert not leaves_before_run_ends(30.0, prefill_s=1.2, decode_s=4.0)
    assert not leaves_before_run_ends(None, prefill_s=1.2, decode_s=4.0)


def leaves(
    *, used: int = 52_000, waiting: int | None = 5_200, elsewhere_s: float | None = 1.5
) -> bool:
    return should_leave_queue(
        first_waiting=waiting,
        memory_used=used,
        memory_total=TOTAL,
        elsewhere_s=elsewhere_s,
        usual_prefill_s=1.1,
    )


def test_a_prompt_leaves_a_queue_that_waits_for_memory() -> None:
    """Guards against a prompt that waits for the end of a run while other engines have room."""
    assert leaves()


def test_a_prompt_stays_if_the_queue_advances_or_no_engine_is_sooner() -> None:
    """Guards against prompts that keep moving in a burst and get no prefill anywhere."""
    assert not leaves(used=40_000)
    assert not leaves(waiting=None)
    assert not leaves(elsewhere_s=6.0)
    assert not leaves(elsewhere_s=None)


def test_without_the_mechanism_a_prompt_waits() -> None:
    MECHANISMS.switch_off(["stuck-queues"])
    try:
        assert not leaves()
    finally:
        MECHANISMS.switch_off(())


def test_a_last_copy_is_made_just_before_the_engine_of_a_run_stops() -> None:
    """Guards against a run resumed from a copy that is a second old, whose tokens are repeated."""
    keeping = CopyPolicy(retention_s=4.0)
    keeping.record_copy("e2", 10.0)
    assert not keeping.is_copy_due(11.2, holder_usable=True)
    keeping.set_engine_departure(11.2 + LAST_COPY_LEAD_S)
    assert not keeping.is_copy_due(11.1, holder_usable=True)
    assert keeping.is_copy_due(11.2, holder_usable=True)
    keeping.record_copy("e2", 11.2)
    assert not keeping.is_copy_due(11.4, holder_usable=True)


def preempted(**more: object) -> bool:
    arguments = {"flowing": True, "listed": False, "waiting": 1, "silent_s": 0.37, "has_copy": True}
    return is_preempted(**{**arguments, **more})


def test_a_preempted_run_resumes_from_its_copy() -> None:
    """Guards against a stream that waits in a queue though another engine has its copy."""
    assert preempted()


def test_a_run_that_is_not_preempted_stays() -> None:
    """Guards against runs that move because of a report from before their first event."""
    assert not preempted(listed=True)
    assert not preempted(silent_s=MIN_SILENCE_S / 2)
    assert not preempted(waiting=0)
    assert not preempted(flowing=False)


def test_a_preempted_run_without_a_copy_waits() -> None:
    """Guards against a repeated prefill elsewhere, which takes as long or longer."""
    assert not preempted(has_copy=False)
