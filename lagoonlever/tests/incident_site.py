"""The deployment of a play: the soak's, whose targets write down what they get and run."""

from __future__ import annotations

import signal
from collections.abc import Iterator

import attrs
import trio

from lagoonlever.fakes.platform_engine import DeathStage, EngineRun, FakeEngine
from lagoonlever.fakes.target_room import TargetRoom
from lagoonlever.http.exchange import Exchange
from lagoonlever.http.messages import Address, Headers
from lagoonlever.platform.headers import DEADLINE, PROMPT_PARTS, REQUEST_ID
from lagoonlever.soak.site import SoakSite, SoakTarget, SoakVm
from lagoonlever.soak.watched import WatchedEngine, WatchedRunner
from lagoonlever.tests.incident_budget import STABLE_S
from lagoonlever.tests.incident_history import Arrival, EngineEnd, HeldEvent, History, Rest
from lagoonlever.tests.incident_shapes import (
    APP_SLOTS,
    APPS,
    APPS_WAIT,
    ENGINES,
    Shape,
)

MS = 1_000.0
BACK_AFTER_S = 2.0
"""From the end of an engine by a prompt until it is back under its id."""
RUN_MARK = " by "


class RecordedEngine(WatchedEngine):
    """An engine that reads prompts one after the other, and whose events name their run."""

    def __init__(self, *, site: IncidentSite, **known: object) -> None:
        super().__init__(site=site, **known)  # type: ignore[arg-type]
        self._reading = trio.Lock()
        self._incident = site
        self._arrived: dict[str, Arrival] = {}

    async def handle(self, exchange: Exchange) -> None:
        """Write down a request, and answer it or a question."""
        headers = exchange.request.headers
        if headers.get(REQUEST_ID) is not None:
            arrival = self._incident.record_arrival(ENGINES, self.target_id, headers)
            self._arrived[arrival.request] = arrival
        await super().handle(exchange)

    def record_accepted(self, headers: Headers) -> None:
        """Write down that a request runs here."""
        super().record_accepted(headers)
        arrival = self._arrived.get(headers.get(REQUEST_ID) or "")
        if arrival is not None:
            arrival.ran = True

    async def read_prompt(self, run: EngineRun) -> None:
        """Read a prompt once those before it are read."""
        async with self._reading:
            await super().read_prompt(run)

    def event_of(self, run: EngineRun, number: int) -> bytes:
        """Return an event that names its version, its run, and where that began."""
        name = f"{self.target_id}/{self.started_ms}/{run.number}"
        said = f"{run.part} {number}{RUN_MARK}{self.version}|{name}|{run.begun_after}"
        return f"id: {number}\ndata: {said}\n\n".encode()


def read_event(data: bytes, number: int | None, request: str) -> HeldEvent:
    """Decode an event that a caller got."""
    text = data.decode().partition("data: ")[2].strip()
    own, _, by = text.partition(RUN_MARK)
    part, _, made = own.rpartition(" ")
    version, run, begun_after = by.split("|")
    return HeldEvent(
        request=request,
        number=number,
        part=part,
        made=int(made),
        version=version,
        run=run,
        begun_after=int(begun_after),
    )


class RecordedRunner(WatchedRunner):
    """A runner that writes down what it gets, runs and asks for."""

    def __init__(self, *, target_id: str, site: IncidentSite) -> None:
        super().__init__(target_id=target_id, judge=site.judge, site=site)
        self.work_s = site.sheet.work_s
        self.room = TargetRoom(slots=APP_SLOTS, most_waiting=APPS_WAIT)
        self.says.tells_load = True
        self._incident = site

    async def handle(self, exchange: Exchange) -> None:
        """Answer one request, and write down whether it ran."""
        headers = exchange.request.headers
        if headers.get(REQUEST_ID) is None:
            await super().handle(exchange)
            return
        arrival = self._incident.record_arrival(APPS, self.target_id, headers)
        before = self.runs[arrival.request]
        try:
            await super().handle(exchange)
        finally:
            arrival.ran = self.runs[arrival.request] > before
            if not arrival.ran and self.says.rest is not None:
                self._incident.record_rest(arrival, float(self.says.rest))


@attrs.define(kw_only=True, eq=False)
class IncidentSite(SoakSite):
    """The soak's site with a history; ``sheet`` says what is played."""

    sheet: Shape
    stage: DeathStage
    history: History
    _ended: set[FakeEngine] = attrs.field(factory=set)
    _arrivals: dict[str, list[Arrival]] = attrs.field(factory=dict)
    """By the request's id."""

    def new_engine(
        self, target_id: str, started_ms: int, pace: float, version: str
    ) -> RecordedEngine:
        """Return the server of an engine that starts."""
        engine = RecordedEngine(
            target_id=target_id,
            fleet=self._fleet,
            judge=self.judge,
            started_ms=started_ms,
            pace=pace,
            room=self.deployment.engine_room(),
            version=version,
            site=self,
        )
        engine.dies_at = self.stage
        engine.prefill_tokens_per_s = self.sheet.tokens_per_s / pace
        engine.event_s = self.sheet.event_s * pace
        return engine

    def new_runner(self, target_id: str) -> RecordedRunner:
        """Return the server of a runner that starts."""
        return RecordedRunner(target_id=target_id, site=self)

    def vm_of(self, address: Address) -> SoakVm | None:
        """Return the VM that takes callers at an address."""
        return self._vm_at(address)

    def signal(self, vm: SoakVm, number: signal.Signals, *, ends: bool = False) -> None:
        """Send a signal to a VM's process, and write it down."""
        super().signal(vm, number, ends=ends)
        self.history.disturbed.setdefault(vm.name, []).append(trio.current_time())

    def start_vm(self, vm: SoakVm) -> None:
        """Start a VM's process, and write it down."""
        super().start_vm(vm)
        self.history.disturbed.setdefault(vm.name, []).append(trio.current_time())

    def record_arrival(self, service: str, target: str, headers: Headers) -> Arrival:
        """Write down a request that reaches a target."""
        request, now = headers.get(REQUEST_ID) or "", trio.current_time()
        left_ms = headers.get(DEADLINE)
        entries = (headers.get(PROMPT_PARTS) or "").split(",")
        arrival = Arrival(
            at=now,
            request=request,
            service=service,
            target=target,
            deadline_s=None if left_ms is None else float(left_ms) / MS,
            in_touch=self._was_sent_in_touch(request, target, now),
            deadly=frozenset(self.deadly & {entry.partition(":")[0] for entry in entries}),
        )
        self.history.arrivals.append(arrival)
        self._arrivals.setdefault(request, []).append(arrival)
        return arrival

    def record_rest(self, arrival: Arrival, rest_s: float) -> None:
        """Write down that a target asked for a rest as it turned a request away."""
        attempt = self.history.attempts.get(arrival.request)
        if attempt is not None:
            now = trio.current_time()
            rest = Rest(at=now, target=arrival.target, vm=attempt.vm, rest_s=rest_s)
            self.history.rests.append(rest)

    def engine_dies(self, target_id: str) -> None:
        """End an engine by the prompt that it runs, once; it is back after some time."""
        place = next(n for n, kept in enumerate(self.engines) if kept.target.id == target_id)
        kept, now = self.engines[place], trio.current_time()
        server = kept.server
        assert isinstance(server, FakeEngine)
        if server in self._ended or kept.is_ending:
            return
        self._ended.add(server)
        by_cause: dict[str, list[str]] = {}
        for run in server.runs.values():
            for cause in self.deadly & {run.part, *run.shared} if run.flowing else ():
                by_cause.setdefault(cause, []).append(run.request_id)
        for cause, requests in by_cause.items():
            end = EngineEnd(at=now, target=target_id, deadly=cause, requests=tuple(requests))
            self.history.ends.append(end)
        if self.rng.random() < 0.5:
            self.nursery.start_soon(self.restart_target, self.engines, place)
        else:
            self.nursery.start_soon(self._start_engine_again, place)

    async def _start_engine_again(self, place: int) -> None:
        await self.start_target_again(self.engines, place, after_s=BACK_AFTER_S)

    def sound_since(self, request: str, since: float, vm: SoakVm | None) -> Iterator[str]:
        """Yield the targets that ran a request, and neither ended nor were cut off since."""
        if vm is None or vm.paths_lost_at is not None or vm.paths_back_at >= since:
            return
        kept = {each.target.id: each for each in (*self.engines, *self.runners)}
        for arrival in self._arrivals.get(request, ()):
            target = kept.get(arrival.target)
            if arrival.ran and target is not None and _was_sound(target, since):
                yield arrival.target

    def _was_sent_in_touch(self, request: str, target: str, now: float) -> bool:
        """Check whether the VM that took a request is in touch, and its target's link is well.

        Where that VM has lost its paths, others may have sent it: all have to be in touch.
        """
        attempt = self.history.attempts.get(request)
        vm = next((vm for vm in self.vms if attempt and vm.name == attempt.vm), None)
        kept = next(
            (each for each in (*self.engines, *self.runners) if each.target.id == target), None
        )
        if vm is None or kept is None or kept.proxy.harmed or self.store.harmed:
            return False
        cut = vm.paths_lost_at is not None or now - vm.paths_back_at <= STABLE_S
        senders = self.vms if cut else [vm]
        if any(each.store_link.harmed for each in senders):
            return False
        last = max(each.disturbed_at for each in senders)
        return now - max(last, self.store_disturbed_at, kept.proxy.harmed_until) > STABLE_S


def _was_sound(kept: SoakTarget, since: float) -> bool:
    proxy = kept.proxy
    return not (
        kept.is_ending or proxy.harmed or proxy.harmed_until >= since or proxy.reset_at >= since
    )
