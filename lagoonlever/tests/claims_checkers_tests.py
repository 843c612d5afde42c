"""The checkers of requests that run at most once, on histories that violate the guarantees."""

from __future__ import annotations

import attrs

from lagoonlever.history.checkers import at_most_once, not_run
from lagoonlever.history.events_callers import CallerAsked, CallerGotOutcome, CallerReceived
from lagoonlever.history.events_services import CallerToldOfCall, DispatchWritten
from lagoonlever.history.events_targets import ServiceExecuted


def answer_event(tag: str, body: str, request: str = "r") -> CallerToldOfCall:
    return CallerToldOfCall(
        at=1.0, process="caller", caller="c", request=request, tag=tag, status=200, body=body
    )


def test_detects_a_retry_with_a_different_answer() -> None:
    same = [
        answer_event("done", "lot 7"),
        answer_event("unknown", ""),
        answer_event("done", "lot 7"),
    ]
    assert at_most_once.check(same) == []
    assert len(at_most_once.check([*same, answer_event("done", "lot 8")])) == 1
    looked_up = ServiceExecuted(
        at=0.5, process="a1", target="a1", key="", request="r", operation="GET /prices"
    )
    assert at_most_once.check([looked_up, *same, answer_event("done", "lot 8")]) == []


def test_detects_a_key_that_is_written_twice() -> None:
    first = DispatchWritten(at=1.0, process="vm1", key="k", target="a1", homed_key="vm1~1~2:9:k")
    without_key = DispatchWritten(at=1.0, process="vm1", key="", target="a1")
    assert at_most_once.check([first, without_key, without_key]) == []
    again = attrs.evolve(first, process="vm2", target="a2")
    assert len(at_most_once.check([first, again])) == 1


def test_detects_not_run_after_tokens_were_received() -> None:
    common = {"process": "caller", "caller": "c", "request": "r"}
    asked = CallerAsked(at=1.0, vm="vm1", model="m", prompt="p", max_tokens=2, **common)
    received = CallerReceived(
        at=2.0, generation=1, attempt=1, offset=0, token_ids=(7,), text="x", event_id="", **common
    )
    refused = CallerGotOutcome(at=3.0, tag="not-run", status=503, **common)
    assert not_run.check([asked, refused]) == []
    assert not_run.check([asked, received, asked, refused]) == []
    assert len(not_run.check([asked, received, refused])) == 1
