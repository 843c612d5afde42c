"""Streams through gateways: relayed whole, resumed at another engine or by another VM."""

from __future__ import annotations

import pytest
import trio

from lagoonlever.fakes.platform_engine import EngineConduct
from lagoonlever.platform.headers import (
    COPY_FROM,
    COPY_TO,
    EXPECTED_TARGET,
    ORGANISATION,
    PRIORITY,
)
from lagoonlever.tests.gateway_site import (
    GatewaySite,
    run_site,
    running_engine,
    until,
)


def test_a_stream_arrives_whole_with_the_engine_s_seal() -> None:
    async def story(site: GatewaySite) -> None:
        got = await site.stream("p1", events=10)
        assert got.status == 200 and got.whole and got.is_events("p1", 1, 10)
        engine = next(e for e in site.engines.values() if e.seen)
        assert got.headers.get("Response-Seal") == f"seal-{engine.target_id}"
        sent = engine.seen[0]
        assert sent.get(EXPECTED_TARGET) == engine.target_id
        assert sent.get(ORGANISATION) == "org-1"
        assert sent.get("Authorization") is None
        assert sent.get(COPY_TO) is not None

        assert sent.get(PRIORITY) is None

    run_site(story)


def test_a_crashed_engine_s_stream_goes_on_from_the_copy() -> None:
    """A dealer's summary is half told when its engine dies with its sockets.

    The engine that holds the copy of the run's memory goes on at the next event, and no
    prompt token is read twice.
    """

    async def story(site: GatewaySite) -> None:
        def crash(count: int) -> None:
            if count == 5:
                site.crash(running_engine(site))

        got = await site.stream("p1", events=30, prompt_tokens=1000, on_event=crash)
        assert got.whole and got.is_events("p1", 1, 30)
        assert sum(engine.read_tokens["p1"] for engine in site.engines.values()) == 1000
        resumed = [s for e in site.engines.values() for s in e.seen if s.get(COPY_FROM)]
        assert len(resumed) == 1

    run_site(story)


def test_an_engine_that_goes_dark_is_asked_and_left() -> None:
    """An engine stands still in the middle of a stream: its sockets stay open and silent.

    The silence is noticed by its length, the engine does not answer a question, and the
    copy goes on, with a pause below what callers allow.
    """

    async def story(site: GatewaySite) -> None:
        def freeze(count: int) -> None:
            if count == 5:
                site.engines[running_engine(site)].frozen.set()

        started = trio.current_time()
        got = await site.stream("p1", events=30, on_event=freeze)
        assert got.whole and got.is_events("p1", 1, 30)
        assert trio.current_time() - started < 5.0

    run_site(story)


def test_an_engine_that_is_silent_before_its_first_event_is_left() -> None:
    """An engine takes the request, goes dark while it reads the prompt, and never answers."""

    async def story(site: GatewaySite) -> None:
        for engine in site.engines.values():
            engine.prefill_tokens_per_s = 1_000.0

        async def freeze() -> None:
            await until(lambda: any(engine.runs for engine in site.engines.values()))
            site.engines[running_engine(site)].frozen.set()

        site.nursery.start_soon(freeze)
        got = await site.stream("p1", events=5, prompt_tokens=500)
        assert got.whole and got.is_events("p1", 1, 5)

    run_site(story)


def test_a_run_whose_answer_is_held_back_is_left() -> None:
    """An engine runs a request and sends nothing of it; its report tells events made."""

    async def story(site: GatewaySite) -> None:
        for engine in site.engines.values():
            engine.conducts.append(EngineConduct.STAY_SILENT)
        site.engines["engine-0"].conducts.clear()
        got = await site.stream("p1", events=5)
        assert got.whole and got.is_events("p1", 1, 5)

    run_site(story)


def test_half_an_event_never_reaches_a_caller() -> None:
    """An engine breaks off within an event; the next one sends that event whole."""

    async def story(site: GatewaySite) -> None:
        for engine in site.engines.values():
            engine.conducts.append(EngineConduct.HALF_EVENT)
        got = await site.stream("p1", events=12)
        assert got.whole and got.is_events("p1", 1, 12)

    run_site(story)


@pytest.mark.parametrize("conduct", [EngineConduct.NO_LENGTH, EngineConduct.NO_LENGTH_HALF])
def test_a_stream_without_a_length_ends_with_its_connection_unless_within_an_event(
    conduct: EngineConduct,
) -> None:
    """Guards against a stream that is told to be whole as its engine breaks off."""

    async def story(site: GatewaySite) -> None:
        for engine in site.engines.values():
            engine.conducts.append(conduct)
        got = await site.stream("p1", events=12)
        assert got.whole and got.is_events("p1", 1, 12)
        arrived = sum(len(engine.arrived_at) for engine in site.engines.values())
        assert (arrived > 1) == (conduct is EngineConduct.NO_LENGTH_HALF)

    run_site(story)


def test_an_event_is_never_skipped() -> None:
    """A faulty engine leaves an event out: its attempt is given up before the gap is told."""

    async def story(site: GatewaySite) -> None:
        for engine in site.engines.values():
            engine.conducts.append(EngineConduct.SKIP_EVENT)
        got = await site.stream("p1", events=12)
        assert got.whole and got.is_events("p1", 1, 12)

    run_site(story)


def test_a_caller_that_lost_its_vm_goes_on_at_another_from_the_copy() -> None:
    """A VM is killed in the middle of a stream; its caller returns to another VM.

    The other VM was told of the run, and goes on from its copy: the events fit together
    and the prompt is not read again.
    """

    async def story(site: GatewaySite) -> None:
        def kill(count: int) -> None:
            if count == 5:
                site.vms["vm-0"].kill()

        first = await site.stream("p1", vm="vm-0", events=40, prompt_tokens=1000, on_event=kill)
        had = first.body.count(b"\n\n")
        assert not first.whole and first.is_events("p1", 1, had)
        second = await site.stream(
            "p1", vm="vm-1", events=40, prompt_tokens=1000, Last_Event_Id=str(had)
        )
        assert second.whole and second.is_events("p1", had + 1, 40)
        assert sum(engine.read_tokens["p1"] for engine in site.engines.values()) == 1000

    run_site(story)


def test_after_all_vms_died_a_return_finds_the_engine_that_read_its_prompt() -> None:
    """All VMs are killed at once, and nothing of the stream is remembered anywhere.

    The engines are asked what they keep; the return goes where its prompt was read.
    """

    async def story(site: GatewaySite) -> None:
        def kill(count: int) -> None:
            if count == 5:
                for vm in site.vms.values():
                    vm.kill()

        first = await site.stream("p1", events=60, prompt_tokens=1000, on_event=kill)
        had = first.body.count(b"\n\n")
        vm = await site.start_vm("vm-0")
        await site.wait_ready(vm)
        second = await site.stream("p1", events=60, prompt_tokens=1000, Last_Event_Id=str(had))
        assert second.whole and second.is_events("p1", had + 1, 60)
        assert sum(engine.read_tokens["p1"] for engine in site.engines.values()) == 1000

    run_site(story)


def test_a_caller_that_leaves_has_its_run_cancelled() -> None:
    """A caller closes its connection before the first event: the engine must not work on."""

    async def story(site: GatewaySite) -> None:
        for engine in site.engines.values():
            engine.prefill_tokens_per_s = 100.0
        with trio.move_on_after(0.3):
            await site.stream("p1", events=5, prompt_tokens=2000)
        await until(lambda: any(engine.cancelled for engine in site.engines.values()))
        assert not any(engine.runs for engine in site.engines.values())

    run_site(story)


def test_a_stream_with_no_engine_is_refused_at_once() -> None:
    async def story(site: GatewaySite) -> None:
        got = await site.stream("p1", events=5)
        assert got.status == 503
        assert float(got.headers.get("Retry-After") or 0) > 0

    run_site(story, engines=0)


def test_a_stream_that_can_t_go_on_ends_visibly_broken() -> None:
    """Every engine dies in the middle of a stream: what the caller has must not look whole."""

    async def story(site: GatewaySite) -> None:
        def crash(count: int) -> None:
            if count == 5:
                for name in site.engines:
                    site.crash(name)
                    site.unlist_target(name)

        got = await site.stream("p1", events=30, on_event=crash, Deadline_Ms="1500")
        had = got.body.count(b"\n\n")
        assert not got.whole and got.is_events("p1", 1, had) and had < 30

    run_site(story)


def test_a_run_whose_copy_s_holder_leaves_is_copied_anew() -> None:
    """The engine that holds a run's copy drains, and then the run's own engine crashes.

    Before, the copy was gone with its holder, and the caller waited a second while the
    prompt was read again. The run is copied to a third engine as soon as the holder leaves.
    """

    async def story(site: GatewaySite) -> None:
        for engine in site.engines.values():
            engine.event_s = 0.02

        def holder() -> str:
            return next(name for name, engine in site.engines.items() if engine.copies)

        def disturb(count: int) -> None:
            if count == 5:
                site.list_target(holder(), service="engines", state="draining")
            if count == 40:
                site.crash(running_engine(site))

        got = await site.stream("p1", events=60, prompt_tokens=1000, on_event=disturb)
        assert got.whole and got.is_events("p1", 1, 60)
        assert sum(engine.read_tokens["p1"] for engine in site.engines.values()) == 1000

    run_site(story, engines=4)


def test_an_engine_that_only_lost_an_answer_is_kept_to_once() -> None:
    """An engine reads a prompt and its answer is lost on the way; the engine lives.

    It keeps the prompt, so that the second attempt there reads nothing.
    """

    async def story(site: GatewaySite) -> None:
        for engine in site.engines.values():
            engine.prefill_tokens_per_s = 5_000.0
            engine.conducts.append(EngineConduct.HALF_EVENT)

        got = await site.stream("p1", events=12, prompt_tokens=500)
        assert got.whole and got.is_events("p1", 1, 12)
        assert sum(engine.read_tokens["p1"] for engine in site.engines.values()) == 500

    run_site(story)


def test_a_stream_that_can_t_end_in_time_is_refused_before_its_prompt_is_read() -> None:
    """A caller returns with a second left, for an answer that takes four on an idle engine.

    How long that is the VM has seen on a stream before: nobody told it how fast engines are.
    """

    async def story(site: GatewaySite) -> None:
        for engine in site.engines.values():
            engine.prefill_tokens_per_s, engine.event_s = 5_000.0, 0.025
        first = await site.stream("p1", events=40, prompt_tokens=5000)
        assert first.whole
        got = await site.stream("p2", events=190, prompt_tokens=5000, Deadline_Ms="1000")
        assert got.status == 503
        assert not any(engine.read_tokens["p2"] for engine in site.engines.values())
        retry_after = got.headers.get("Retry-After")
        assert retry_after is not None and float(retry_after) > 0

    run_site(story)


def test_a_copy_that_was_called_for_is_given_back_at_the_end() -> None:
    """A run is copied anew after its holder left, and then ends well.

    The new copy would keep its holder's memory for seconds, in which it serves nobody.
    """

    async def story(site: GatewaySite) -> None:
        for engine in site.engines.values():
            engine.event_s = 0.02

        def leave(count: int) -> None:
            if count == 5:
                holder = next(name for name, engine in site.engines.items() if engine.copies)
                site.list_target(holder, service="engines", state="draining")

        got = await site.stream("p1", events=40, on_event=leave)
        assert got.whole
        copied = sum(engine.questions["copy"] for engine in site.engines.values())
        assert copied > 0
        await until(lambda: not any(engine.copies for engine in site.engines.values()))

    run_site(story, engines=4)
