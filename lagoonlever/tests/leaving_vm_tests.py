"""A VM that was told to stop begins nothing that it can't end before its process does."""

from __future__ import annotations

import time

import attrs
import pytest
import trio

from lagoonlever.decisions.engines.engine_timings import TokenTimes
from lagoonlever.decisions.fleet.departure import ELSEWHERE_S, LEARN_S, RESTART_S, Departure
from lagoonlever.decisions.streams.stream_time import MAX_TIME_RATIO, RemainingStream
from lagoonlever.exceptions import PeerError
from lagoonlever.gateway.attempt_planner import AttemptPlanner
from lagoonlever.gateway.daemon import END_MARGIN_S
from lagoonlever.gateway.settings import Bounds
from lagoonlever.outcomes import REASON_HEADER, RETRY_AFTER_HEADER, Reason
from lagoonlever.tests.gateway_site import POLL_S, GatewaySite, Stream, run_site, until

GRACE_S = 6.0
ENDS_S = GRACE_S - END_MARGIN_S
"""From the order to stop until the process closes what is still open."""
EVENTS = 50
EVENT_S = 0.02
WHOLE_S = EVENTS * EVENT_S
LONG = 400
"""Events of a stream that takes longer than a VM has to stop."""
DEADLINE_S = 1.0
UNANSWERED = 504
WORK_S = 0.1
"""What a runner takes for a call."""
PAUSE_S = 0.02
PAUSES_S = {"none": (), "one": (0.98,), "many": (*(0.04,) * 8, 0.72, *(0.04,) * 8)}
"""Of this process, which is that of every part."""
BOUNDS = Bounds(grace_s=GRACE_S)


async def slow_engines(site: GatewaySite) -> None:
    """Have streams take a second; the VMs have seen one of them."""
    for engine in site.engines.values():
        engine.event_s = EVENT_S
    assert (await site.stream("first", events=EVENTS)).whole


async def tell_to_stop(site: GatewaySite, vm: str = "vm-0") -> float:
    """Have a VM stop, and return when its process ends.

    It stays until then, as a stream that began before goes on for longer.
    """
    begun = trio.Event()

    async def stay() -> None:
        await site.stream(f"long-{vm}", vm=vm, events=LONG, on_event=lambda _: begun.set())

    site.nursery.start_soon(stay)
    await begun.wait()
    site.vms[vm].daemon.stop()
    return trio.current_time() + ENDS_S


def arrivals(site: GatewaySite) -> int:
    return sum(len(engine.arrived_at) for engine in site.engines.values())


def retry_after_s(stream: Stream) -> float:
    return float(stream.headers.get(RETRY_AFTER_HEADER) or 0.0)


def test_a_stream_that_a_stopping_vm_can_t_end_is_told_to_come_back() -> None:
    """A VM takes a stream seconds after its order to stop, and cuts it midway as it ends."""

    async def story(site: GatewaySite) -> None:
        await slow_engines(site)
        ends_at = await tell_to_stop(site)
        await trio.sleep_until(ends_at - WHOLE_S / 2)
        before = arrivals(site)
        stream = await site.stream("late", events=EVENTS)
        assert stream.status == 503
        assert stream.headers.get(REASON_HEADER) == Reason.LEAVING.value
        assert arrivals(site) == before

    run_site(story, bounds=BOUNDS)


def test_a_stream_that_a_stopping_vm_can_end_is_served() -> None:
    """Guards against refusals of what there is time for."""

    async def story(site: GatewaySite) -> None:
        await slow_engines(site)
        await tell_to_stop(site)
        stream = await site.stream("short", events=10)
        assert stream.whole and stream.is_events("short", 1, 10)

    run_site(story, bounds=BOUNDS)


def test_a_return_that_a_stopping_vm_can_t_end_is_told_to_come_back() -> None:
    """A caller is back with a part of its answer, and loses its connection once more."""

    async def story(site: GatewaySite) -> None:
        await slow_engines(site)
        ends_at = await tell_to_stop(site)
        await trio.sleep_until(ends_at - WHOLE_S / 4)
        before = arrivals(site)
        stream = await site.stream("late", events=EVENTS, Last_Event_Id="5")
        assert stream.status == 503
        assert arrivals(site) == before

    run_site(story, bounds=BOUNDS)


@pytest.mark.parametrize("others", [True, False])
def test_a_caller_is_told_to_come_back_at_once_only_if_another_vm_serves(others: bool) -> None:
    """All VMs of a small fleet are restarted together, and a caller's one return is in vain."""

    async def story(site: GatewaySite) -> None:
        await site.wait_met()
        await slow_engines(site)
        first_ends_at = 0.0
        if not others:
            first_ends_at = await tell_to_stop(site, "vm-1")
            fellows = site.vms["vm-0"].daemon.parts.beliefs.fellows
            await until(lambda: not fellows.accepting_callers(trio.current_time()))
        ends_at = await tell_to_stop(site)
        await trio.sleep_until(ends_at - WHOLE_S / 2)
        stream = await site.stream("late", events=EVENTS)
        assert stream.status == 503
        if others:
            assert 0.0 < retry_after_s(stream) < WHOLE_S / 4
        else:
            assert trio.current_time() + retry_after_s(stream) > first_ends_at

    run_site(story, bounds=BOUNDS)


@attrs.define(kw_only=True)
class Pauses:
    """When this process stood still, and with it every part of the site.

    That is what each poll was late by: a machine that is busy stops a process for long, or for a
    little again and again.
    """

    _pauses: list[tuple[float, float]] = attrs.field(factory=list)

    async def watch(self) -> None:
        while True:
            began = trio.current_time()
            await trio.sleep(POLL_S)
            self._pauses.append((began + POLL_S, trio.current_time()))

    def total_s(self, since: float, until: float) -> float:
        """Return for how long the process stood still between two times."""
        return sum(max(0.0, min(until, end) - max(since, start)) for start, end in self._pauses)


@pytest.mark.parametrize("pauses_s", PAUSES_S.values(), ids=PAUSES_S)
@pytest.mark.parametrize("kind", ["bid", "look"])
def test_calls_up_to_the_end_of_a_stopping_vm_are_answered_or_not_run(
    kind: str, pauses_s: tuple[float, ...]
) -> None:
    """A call is sent some milliseconds before a process ends: it runs, and nobody is told.

    Its time may end unanswered only where every part stood still for all but twice its work.
    """

    async def story(site: GatewaySite) -> None:
        for runner in site.runners.values():
            runner.work_s = WORK_S
        statuses: dict[str, int] = {}
        begun_at: dict[str, float] = {}
        pauses = Pauses()
        site.nursery.start_soon(pauses.watch)

        async def call(number: int) -> None:
            request = f"call-{number}"
            begun_at[request] = trio.current_time()
            headers = site.headers(request, Deadline_Ms=f"{DEADLINE_S * 1000:.0f}")
            try:
                answer = await site.call(f"/{kind}/{number}", headers=headers)
            except PeerError:
                # The connection was refused or ended without an answer.
                statuses[request] = 0
            else:
                statuses[request] = answer.status

        async def pause() -> None:
            await trio.sleep(ENDS_S / 3)
            for pause_s in pauses_s:
                time.sleep(pause_s)  # noqa: ASYNC251 - every part is to stand still
                await trio.sleep(0.0)

        def stood_still(request: str) -> bool:
            began = begun_at[request]
            return pauses.total_s(began, began + DEADLINE_S) > DEADLINE_S - 2 * WORK_S

        ends_at = await tell_to_stop(site)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(pause)
            nursery.start_soon(call, 0)
            for number in range(1, round((ENDS_S + WORK_S) / PAUSE_S)):
                await trio.sleep(PAUSE_S)
                nursery.start_soon(call, number)
        ran = {name for runner in site.runners.values() for name in runner.runs}
        assert trio.current_time() > ends_at
        assert {statuses[name] for name in ran if not stood_still(name)} == {200}
        assert {statuses[name] for name in ran if stood_still(name)} <= {200, UNANSWERED}
        assert 503 in statuses.values()

    run_site(story, bounds=BOUNDS)


REMAINING = RemainingStream(
    prompt_tokens=1_000, output_tokens=1_000, position=0, event_tokens=8, cached=False
)
PACE = TokenTimes(prompt_token_s=0.0002, token_s=0.004)


def test_a_vm_that_was_not_told_to_stop_is_never_over() -> None:
    assert not Departure().is_over_by(1e9)


@pytest.mark.parametrize(
    ("after_s", "seconds", "resumable", "begins"),
    [
        (1.0, 6.0, False, True),
        (1.0, 6.5, False, False),
        (1.0, 6.5, True, True),
        (LEARN_S - 0.1, 20.0, True, True),
        (LEARN_S + 0.1, 5.0, True, False),
        (LEARN_S + 0.1, 4.0, True, True),
    ],
)
def test_a_stream_is_begun_if_it_can_end_or_be_resumed_by_a_caller_that_knows_no_better(
    after_s: float, seconds: float, resumable: bool, begins: bool
) -> None:
    """Guards against cuts of what came late, and refusals all over a fleet that is restarted."""
    departure = Departure()
    assert departure.can_begin_stream(100.0, seconds=1e9, resumable=False)
    departure.begin(100.0, lasts_s=7.3)
    now = 100.0 + after_s
    assert departure.can_begin_stream(now, seconds=seconds, resumable=resumable) is begins


def test_callers_come_back_at_once_only_if_others_serve() -> None:
    departure = Departure()
    departure.begin(100.0, lasts_s=7.3)
    assert departure.retry_after_s(104.0, others_serve=True) == ELSEWHERE_S
    assert departure.retry_after_s(104.0, others_serve=False) == pytest.approx(3.3 + RESTART_S)
    assert departure.retry_after_s(109.0, others_serve=False) == RESTART_S


def test_callers_come_back_when_the_first_of_all_vms_is_back() -> None:
    """Guards against callers who wait for a VM that was told to stop last."""
    departure = Departure()
    departure.begin(100.0, lasts_s=7.3)
    after_s = departure.retry_after_s(104.0, others_serve=False, others_left_at=[101.0, 97.5])
    assert after_s == pytest.approx(0.8 + RESTART_S)


def test_the_longest_time_of_a_stream_counts_its_whole_length_on_a_shared_engine() -> None:
    """Guards against a stream that is begun by the time of a short one on an idle engine."""
    longest_s = REMAINING.max_time_s(PACE)
    assert longest_s == pytest.approx(MAX_TIME_RATIO * (0.2 + 4.0))
    assert longest_s > REMAINING.min_time_s(PACE)
    resumed = attrs.evolve(REMAINING, position=100, cached=True)
    assert resumed.max_time_s(PACE) == pytest.approx(MAX_TIME_RATIO * 0.8)


def test_a_stream_that_got_its_place_too_late_is_not_sent_by_a_vm_that_stops(monkeypatch) -> None:
    """A stream waits for its place, which comes as its VM is about to end, and is cut."""

    async def story(site: GatewaySite) -> None:
        await slow_engines(site)
        plan = AttemptPlanner.plan

        async def plan_late(self: AttemptPlanner, *args: object) -> object:
            await trio.sleep(ENDS_S - WHOLE_S / 2)
            return await plan(self, *args)

        await tell_to_stop(site)
        before = arrivals(site)
        monkeypatch.setattr(AttemptPlanner, "plan", plan_late)
        stream = await site.stream("late", events=EVENTS)
        assert stream.status == 503
        assert arrivals(site) == before

    run_site(story, bounds=BOUNDS)
