"""Faults within a gateway that end a request: its caller is told, and the log names it."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import logbook
import pytest

from lagoonlever.gateway import events
from lagoonlever.gateway.attempt_planner import AttemptPlanner
from lagoonlever.gateway.call_exchange import CallExchange
from lagoonlever.gateway.stream_attempt import StreamAttempt
from lagoonlever.outcomes import REASON_HEADER, Reason
from lagoonlever.tests.gateway_site import GatewaySite, run_site

INTERNAL_ERROR = 500


async def _fail(*args: Any, **more: Any) -> None:
    raise RuntimeError("unforeseen")


def _play(story: Callable[[GatewaySite], Awaitable[None]]) -> list[str]:
    """Return the ids of the requests that the log names as ended by a fault."""
    with logbook.TestHandler().applicationbound() as handler:
        run_site(story, engines=2, runners=1, vms=1)
    faults = [r for r in handler.records if r.extra.get("event") is events.REQUEST_FAULT]
    return [record.kwargs["request"] for record in faults]


@pytest.mark.parametrize("path", ["/bid/1", "/look/1"])
def test_a_call_that_meets_a_fault_is_answered(path: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """Its connection was closed without a word, and no line named it."""
    monkeypatch.setattr(CallExchange, "attempt", _fail)

    async def story(site: GatewaySite) -> None:
        answer = await site.call(path, headers=site.headers("faulty"))
        assert answer.status == INTERNAL_ERROR
        assert answer.headers.get(REASON_HEADER) == Reason.INTERNAL.value

    assert _play(story) == ["faulty"]


def test_a_stream_that_meets_a_fault_before_its_answer_is_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(AttemptPlanner, "plan", _fail)

    async def story(site: GatewaySite) -> None:
        stream = await site.stream("p-1")
        assert stream.status == INTERNAL_ERROR

    assert len(_play(story)) == 1


def test_a_stream_that_meets_a_fault_within_its_answer_does_not_look_whole(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(StreamAttempt, "_pass_on", _fail)

    async def story(site: GatewaySite) -> None:
        stream = await site.stream("p-1")
        assert stream.status == 200 and not stream.whole

    assert len(_play(story)) == 1
