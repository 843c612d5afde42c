"""Counts the engines that end under a prompt, over all VMs, and bars it after the third.

A request may be tried at several engines, and its caller may send it anew to any VM. Without
a count by what is asked, one prompt that ends each engine ends them all.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

import attrs
import logbook
import trio

from lagoonlever.decisions.engines.crash_suspects import CrashSuspects
from lagoonlever.decisions.engines.fingerprints import RequestIdentity
from lagoonlever.decisions.engines.suspect_placement import choose_suspect_engine
from lagoonlever.decisions.engines.target_crashes import Crash, process_name
from lagoonlever.decisions.membership.membership import MemberView
from lagoonlever.decisions.streams.generation_messages import GenerationSpec
from lagoonlever.decisions.targets.leaving_processes import LeavingProcesses
from lagoonlever.decisions.targets.targets import Target, TargetState, TargetView
from lagoonlever.events import event
from lagoonlever.exceptions import ConnectFailed
from lagoonlever.http.client import ClientConnection
from lagoonlever.outcomes import NotRun, Reason
from lagoonlever.peers.interface import Bus
from lagoonlever.peers.messages_crashes import (
    EndTold,
    RequestServed,
    TargetsEnded,
    read_ends,
)
from lagoonlever.published import Published
from lagoonlever.timers import Tick, TimerService

log = logbook.Logger(__name__)

CONNECT_S = 0.5
"""An engine that lives accepts within milliseconds, also while it is busy."""
EXPIRE_PERIOD_S = 60.0

ENGINE_ENDED_UNDER = event(
    212,
    "engine-ended-under",
    "warning",
    "{target} ended under request {request} of {organisation}: the {ended}. end under fingerprint "
    "{fingerprint}.",
    "One end may be an accident. After the third the prompt is refused for a while: tell its "
    "organisation, and mend the engines.",
)


@attrs.define(kw_only=True, eq=False)
class EngineCrashes:
    """What is known of prompts that end engines; told among the VMs, and forgotten with them."""

    _bus: Bus
    _members: Published[MemberView]
    _targets: Published[TargetView]
    _timers: TimerService
    _suspects: CrashSuspects = attrs.field(factory=CrashSuspects)
    _leaving: LeavingProcesses = attrs.field(factory=LeavingProcesses)
    """The engines that were listed as leaving, also for a while after they are gone."""
    _leaving_changes: int = 0
    _listeners: list[Callable[[], None]] = attrs.field(factory=list)

    def on_ends(self, listener: Callable[[], None]) -> None:
        """Have a listener called after ends became known."""
        self._listeners.append(listener)

    async def run(self) -> None:
        """Receive what other VMs tell, until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._follow_targets)
            with self._timers.subscribed(self._expire, period_s=EXPIRE_PERIOD_S):
                await self._receive_ends()

    async def _receive_ends(self) -> None:
        async for received in self._bus.subscribe(TargetsEnded):
            ends = read_ends(received.message, self._timers.now)
            self._suspects.record_reported_crashes(ends)
            for fingerprint in self._suspects.find_cleared_here(ends):
                self._tell(RequestServed(fingerprint=fingerprint))
            self._ends_known()

    async def _follow_targets(self) -> None:
        """Have the ends of engines that are listed as leaving count for nothing."""
        while True:
            self._note_leaving()
            await self._targets.wait_change()

    def _note_leaving(self) -> None:
        """Record which engines are listed as leaving, and which are there to stay."""
        now = self._timers.now
        for target in self._targets.value.targets:
            if target.state is TargetState.LEAVING:
                self._leaving.record(target.name, None, now)
            elif target.state is TargetState.LIVE:
                self._leaving.withdraw(target.name, None)
        self._leaving.expire(now, listed={})
        if self._leaving.changes == self._leaving_changes:
            return
        self._leaving_changes = self._leaving.changes
        since = self._leaving.since.items()
        self._suspects.set_leaving({process_name(p.target, None): at for p, at in since})

    async def run_served(self) -> None:
        """Receive which requests were served after all, until cancelled."""
        async for received in self._bus.subscribe(RequestServed):
            fingerprint = received.message.fingerprint
            self._suspects.record_answer(fingerprint, self._timers.now, is_own=False)

    def refusal(self, spec: GenerationSpec) -> NotRun | None:
        """Return what the caller of a barred prompt is told, or None where it may run."""
        if not self._suspects.crashes:
            return None
        bar = self._suspects.find_block(_fingerprint(spec), self._timers.now)
        if bar is None:
            return None
        return NotRun(
            reason=Reason.ENDS_TARGETS,
            message=f"{bar.crash_count} engines ended under this prompt",
            retry_after_s=bar.remaining_s,
        )

    def gathering_place(self, spec: GenerationSpec, engines: Iterable[Target]) -> str | None:
        """Return which of the engines all returns of a request go to, or None for any of them."""
        if not self._suspects.crashes:
            return None
        fingerprint = _fingerprint(spec)
        if not self._suspects.is_one_crash_from_block(fingerprint):
            return None
        processes = {engine.name: process_name(engine.name, None) for engine in engines}
        return choose_suspect_engine(
            fingerprint, processes, crashed=self._suspects.crashes[fingerprint]
        )

    async def look(
        self, spec: GenerationSpec, target: Target, *, sent_at: float, weight: float
    ) -> None:
        """Record that an engine ended as it began a request, if it has ended."""
        process = process_name(target.name, None)
        if await _accepts(target) or self._suspects.has_crashed(process, sent_at):
            return
        fingerprint, now = _fingerprint(spec), self._timers.now
        if not self._suspects.record_crash(fingerprint, process, Crash(at=now, weight=weight)):
            return
        if not self._suspects.is_excused(fingerprint, process):
            self._log_end(spec, target, fingerprint)
        told = EndTold(fingerprint=fingerprint, process=process, age_s=0.0, weight=weight)
        self._tell(TargetsEnded(ends=(told,)))
        self._ends_known()

    def served(self, spec: GenerationSpec) -> None:
        """Note that an engine gave a whole answer: the prompt ends none."""
        fingerprint = _fingerprint(spec)
        if self._suspects.record_answer(fingerprint, self._timers.now, is_own=True):
            self._tell(RequestServed(fingerprint=fingerprint))

    def _log_end(self, spec: GenerationSpec, target: Target, fingerprint: str) -> None:
        ENGINE_ENDED_UNDER.log(
            log,
            target=target.name,
            request=spec.request_id,
            organisation=spec.organisation,
            ended=self._suspects.count_crashes(fingerprint),
            fingerprint=fingerprint,
        )

    def _tell(self, message: TargetsEnded | RequestServed) -> None:
        view = self._members.value
        for member in view.reachable:
            if member.incarnation != view.own:
                self._bus.send(member.peers, message)

    def _ends_known(self) -> None:
        for listener in self._listeners:
            listener()

    def _expire(self, tick: Tick) -> None:
        self._suspects.expire(tick.now)
        self._note_leaving()


def _fingerprint(spec: GenerationSpec) -> str:
    prompt = spec.prompt if isinstance(spec.prompt, str) else repr(spec.prompt)
    work = RequestIdentity(
        host="",
        method="POST",
        target=spec.model,
        organisation=spec.organisation,
        body=prompt.encode(),
    )
    return work.fingerprint()


async def _accepts(target: Target) -> bool:
    """Check whether an engine takes a connection."""
    try:
        connection = await ClientConnection.open(target.address, timeout_s=CONNECT_S)
    except ConnectFailed:
        # No connection is the answer; the one who asked logs it.
        return False
    await connection.aclose()
    return True
