"""A stream whose first event has come, and waits for what binds it to its version."""

from __future__ import annotations

from typing import Any

import pytest
import trio

from lagoonlever.decisions.engines.engine_scheduler import EngineScheduler
from lagoonlever.fakes.metadata_store import StoreFault
from lagoonlever.gateway.stream_attempt import StreamAttempt
from lagoonlever.gateway.version_record import VersionRecord
from lagoonlever.tests.gateway_site import GatewaySite, run_site
from lagoonlever.tests.losses_of_all_vms_tests import _begin_at_an_unlisted_process

EVENTS = 20


def _look_again_as_a_mark_is_awaited(monkeypatch: pytest.MonkeyPatch) -> trio.Event:
    """Have a run find a better place just as its first event waits for a mark."""
    waits = trio.Event()
    until_marked, look_again = VersionRecord.until_marked, StreamAttempt._look_again

    async def mark(record: VersionRecord, service: str) -> None:
        waits.set()
        await until_marked(record, service)

    async def look(attempt: StreamAttempt) -> None:
        await waits.wait()
        await look_again(attempt)

    def is_better_elsewhere(scheduler: EngineScheduler, request: str, *_: Any, **__: Any) -> bool:
        record = scheduler._records.find(request)
        return record is not None and not record.run.flowing

    monkeypatch.setattr(StreamAttempt, "_look_again", look)
    monkeypatch.setattr(VersionRecord, "until_marked", mark)
    monkeypatch.setattr(EngineScheduler, "should_move", is_better_elsewhere)
    return waits


def test_a_stream_is_not_moved_while_its_first_event_waits_for_a_mark(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The event counted as passed on, so the next attempt had nothing to go on from."""

    async def story(site: GatewaySite) -> None:
        await _begin_at_an_unlisted_process(site)
        waits = _look_again_as_a_mark_is_awaited(monkeypatch)
        site.store.fault = StoreFault.REFUSING
        stream = await site.stream("p-1", events=EVENTS)
        assert waits.is_set()
        assert stream.whole
        assert len(stream.versions) == 1

    run_site(story, engines=0)
