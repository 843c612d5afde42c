"""Requests of one session share a prompt's own part, and never the memory of a run."""

from __future__ import annotations

import pytest

from lagoonlever.platform.headers import COPY_FROM, REQUEST_ID
from lagoonlever.tests.gateway_site import (
    KEY,
    ORGANISATION,
    GatewaySite,
    Stream,
    configuration,
    run_site,
    until,
)

EVENTS = 60
LEFT_AT = 5
PART = "session-1"
FIRST, SECOND = b"how many bids has lot 7?", b"who sold lot 7?"
OTHER_KEY = "key-2"


class _Leaves(Exception):
    """The caller closes its connection."""


async def ask_and_leave(site: GatewaySite, question: bytes, **more: str) -> Stream:
    """Return what a caller has of a stream that it leaves after some events."""

    def leave(count: int) -> None:
        if count >= LEFT_AT:
            raise _Leaves

    stream = await site.stream(PART, question=question, events=EVENTS, on_event=leave, **more)
    assert not stream.whole and stream.last_event >= LEFT_AT
    await until(lambda: not any(engine.runs for engine in site.engines.values()))
    return stream


def resumed_foreign(site: GatewaySite) -> list[tuple[str, str]]:
    return [pair for engine in site.engines.values() for pair in engine.resumed_foreign]


def copies_used(site: GatewaySite) -> dict[str, str]:
    """Return the copy that each request named which went on from one."""
    seen = [headers for engine in site.engines.values() for headers in engine.seen]
    named = {headers.get(REQUEST_ID) or "": headers.get(COPY_FROM) for headers in seen}
    return {request: copy for request, copy in named.items() if copy is not None}


@pytest.mark.parametrize("vm", ["vm-0", "vm-1"])
def test_a_new_request_of_a_session_begins_without_memory(vm: str) -> None:
    """A caller leaves an answer, asks its next question, and gets the former one's answer."""

    async def story(site: GatewaySite) -> None:
        await site.wait_met()
        await ask_and_leave(site, FIRST)
        second = await site.stream(PART, question=SECOND, events=EVENTS, vm=vm)
        assert second.whole and second.is_events(PART, 1, EVENTS)
        assert copies_used(site) == {}

    run_site(story)


def test_a_request_that_is_sent_again_without_events_begins_without_memory() -> None:
    """The same question is asked by a caller that has nothing of its answer."""

    async def story(site: GatewaySite) -> None:
        await ask_and_leave(site, FIRST)
        second = await site.stream(PART, question=FIRST, events=EVENTS)
        assert second.whole
        assert copies_used(site) == {}

    run_site(story)


@pytest.mark.parametrize("vm", ["vm-0", "vm-1"])
def test_a_return_goes_on_from_its_own_memory_beside_a_later_request(vm: str) -> None:
    """The later request of the session is the last one that its part names."""

    async def story(site: GatewaySite) -> None:
        await site.wait_met()
        first = await ask_and_leave(site, FIRST)
        await ask_and_leave(site, SECOND)
        returned = await site.stream(
            PART, question=FIRST, events=EVENTS, vm=vm, Last_Event_Id=str(first.last_event)
        )
        assert returned.whole and returned.is_events(PART, first.last_event + 1, EVENTS)
        assert resumed_foreign(site) == []
        [copy] = copies_used(site).values()
        assert copy.endswith(f"/{first.request_id}")

    run_site(story)


def test_a_return_to_an_unknown_stream_takes_no_memory_of_its_session() -> None:
    """Nobody remembers the stream of a caller that returns, but a run of its session."""

    async def story(site: GatewaySite) -> None:
        await ask_and_leave(site, SECOND)
        returned = await site.stream(PART, question=FIRST, events=EVENTS, Last_Event_Id="3")
        assert returned.whole and returned.is_events(PART, 4, EVENTS)
        assert copies_used(site) == {}

    run_site(story)


def test_a_caller_that_names_another_request_s_stream_gets_none_of_its_memory() -> None:
    """A caller names as its own the stream of another question."""

    async def story(site: GatewaySite) -> None:
        other = await ask_and_leave(site, SECOND)
        returned = await site.stream(
            PART, question=FIRST, events=EVENTS, Last_Event_Id="3", Resumes=other.request_id
        )
        assert returned.whole
        assert copies_used(site) == {}

    run_site(story)


@pytest.mark.parametrize("names_stream", [True, False])
def test_memory_stays_within_its_organisation(names_stream: bool) -> None:
    """A caller of another organisation sends the same question with the same part."""

    async def story(site: GatewaySite) -> None:
        other = {"Name": "org-2", "ApiKeys": [OTHER_KEY], "Priority": 1}
        first = {"Name": ORGANISATION, "ApiKeys": [KEY], "Priority": 1}
        site.configure(configuration(2, Tenants=[first, other]))
        beliefs = site.vms["vm-0"].daemon.parts.beliefs
        await until(
            lambda: beliefs.configuration.value and beliefs.configuration.value.version == 2
        )
        left = await ask_and_leave(site, FIRST)
        returned = await site.stream(
            PART,
            question=FIRST,
            events=EVENTS,
            Last_Event_Id=str(left.last_event),
            Resumes=left.request_id if names_stream else "",
            Authorization=f"Bearer {OTHER_KEY}",
        )
        assert returned.whole
        assert copies_used(site) == {}

    run_site(story)


def test_another_model_s_memory_is_not_used() -> None:
    """The same question is sent for another model than the one that read it."""

    async def story(site: GatewaySite) -> None:
        left = await ask_and_leave(site, FIRST)
        returned = await site.stream(
            PART, question=FIRST, events=EVENTS, Last_Event_Id=str(left.last_event), Model="m-2"
        )
        assert returned.whole
        assert copies_used(site) == {}

    run_site(story)
