"""What an engine's report of its leaving and of its queue decides."""

from __future__ import annotations

import msgspec
import pytest

from lagoonlever.decisions.engines.engine_reports import (
    LISTED_S,
    is_preempted,
    leaves_queue,
    leaves_too_soon,
)
from lagoonlever.decisions.settings.mechanisms import MECHANISMS
from lagoonlever.decisions.streams.copy_policy import LAST_COPY_S, CopyPolicy
from lagoonlever.gateway.messages import EngineReport
from lagoonlever.platform.engine_calls import Report, read_report

TOTAL = 55_000


def told(body: bytes) -> EngineReport:
    return read_report(msgspec.json.decode(body, type=Report))


def test_a_report_tells_when_its_engine_leaves_and_what_waits_there() -> None:
    report = told(b'{"leaves_ms": 2500, "Next": 5200, "KvUsed": 52000, "KvTotal": 55000}')
    assert report.leaves_in_s == 2.5 and report.first_waiting == 5_200
    assert not report.leaves


@pytest.mark.parametrize("odd", ["null", '"soon"', "-1", "true", "{}"])
def test_odd_values_spoil_no_report(odd: str) -> None:
    """Guards against an engine taken for lost as its report could not be read."""
    report = told(f'{{"leaves_ms": {odd}, "Next": {odd}, "Queued": 2}}'.encode())
    assert report.leaves_in_s is None and report.first_waiting is None
    assert report.waiting == 2


def test_an_engine_that_leaves_within_a_run_takes_no_new_one() -> None:
    """Guards against a prompt read at an engine that ends before the answer does."""
    assert leaves_too_soon(3.0, reading_s=1.2, making_s=4.0)
    assert not leaves_too_soon(30.0, reading_s=1.2, making_s=4.0)
    assert not leaves_too_soon(None, reading_s=1.2, making_s=4.0)


def leaves(
    *, used: int = 52_000, waiting: int | None = 5_200, elsewhere_s: float | None = 1.5
) -> bool:
    return leaves_queue(
        first_waiting=waiting,
        memory_used=used,
        memory_total=TOTAL,
        elsewhere_s=elsewhere_s,
        usual_s=1.1,
    )


def test_a_prompt_leaves_a_queue_that_waits_for_memory() -> None:
    """Guards against a prompt that waits for the end of a run while other engines have room."""
    assert leaves()


def test_a_prompt_stays_where_the_queue_moves_on_or_no_engine_is_sooner() -> None:
    """Guards against prompts that change places in a burst and are read nowhere."""
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


def test_a_called_copy_is_fresh_when_the_run_s_engine_leaves() -> None:
    """Guards against a run resumed from a copy that is a second old and made again from there."""
    keeping = CopyPolicy(retention_s=4.0)
    keeping.record_copy("e2", 10.0)
    assert not keeping.due(11.2, holder_usable=True)
    keeping.set_engine_departure(11.2 + LAST_COPY_S)
    assert not keeping.due(11.1, holder_usable=True)
    assert keeping.due(11.2, holder_usable=True)
    keeping.record_copy("e2", 11.2)
    assert not keeping.due(11.4, holder_usable=True)


def preempted(**more: object) -> bool:
    seen = {"flowing": True, "listed": False, "waiting": 1, "silent_s": 0.37, "has_copy": True}
    return is_preempted(**{**seen, **more})


def test_a_preempted_run_goes_on_from_its_copy() -> None:
    """Guards against a stream that pauses for seconds in a queue while its copy is elsewhere."""
    assert preempted()


def test_a_run_that_may_go_on_where_it_is_stays() -> None:
    """Guards against runs that leave an engine on the word of a report from before they flowed."""
    assert not preempted(listed=True)
    assert not preempted(silent_s=LISTED_S / 2)
    assert not preempted(waiting=0)
    assert not preempted(flowing=False)


def test_a_preempted_run_without_a_copy_waits() -> None:
    """Guards against a prompt that is read again elsewhere, which takes as long and more."""
    assert not preempted(has_copy=False)
