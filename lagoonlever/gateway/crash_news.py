"""Reports targets that ended under requests to the other VMs, and receives their reports.

The load that is answered: a data centre's engines crash together, each with requests of a dozen
VMs, and every end told to each of hundreds of VMs would open as many connections. In a very
large fleet hubs hear of all ends; they tell the VMs of their data centre of requests under
which two or more targets ended, which are few.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping

import attrs

from lagoonlever.decisions.engines.crash_suspects import CrashSuspects
from lagoonlever.decisions.engines.part_causes import SoundParts
from lagoonlever.decisions.engines.suspects import SuspectKind, kind_of
from lagoonlever.decisions.engines.target_crashes import CrashesByRequest
from lagoonlever.gateway.hub_spread import HubSpread
from lagoonlever.http.messages import Address
from lagoonlever.peers.interface import Bus
from lagoonlever.peers.messages_crashes import (
    EndTold,
    RequestServed,
    TargetsEnded,
    read_ends,
)
from lagoonlever.timers import TimerService

CrashMessage = TargetsEnded | RequestServed


@attrs.define(kw_only=True, eq=False)
class CrashNews:
    """Soft state: a message that is lost costs one more target."""

    _bus: Bus
    _timers: TimerService
    _spread: HubSpread
    _suspects: CrashSuspects
    _sound: SoundParts
    _learnt: Callable[[], None]
    """Called after another VM has told something."""
    _crashed: Callable[[Mapping[str, float]], None]
    """Called with when processes have crashed, by what another VM has told."""
    _served: Callable[[str], None]
    """Called with the fingerprint of a request that another VM has served after all."""

    async def receive_ends(self) -> None:
        """Receive the crashes that other VMs report, until cancelled."""
        async for received in self._bus.subscribe(TargetsEnded):
            message = received.message
            told = read_ends(message, self._timers.now)
            crashed_at = _earliest(told)
            for process in crashed_at:
                self._sound.withdraw(process)
            ends = self._unproven(told)
            for part in told.keys() - ends.keys():
                self._spread.answer(RequestServed(fingerprint=part), to=received.sender.name)
            is_news = self._suspects.record_reported_crashes(ends)
            self._crashed(crashed_at)
            self._learnt()
            # Others count what this VM knows to be cleared: the news was late here only.
            for fingerprint in self._suspects.find_cleared_here(ends):
                self.tell(RequestServed(fingerprint=fingerprint))
            if is_news:
                self._pass_on(message, source=received.sender.name)

    async def receive_served(self) -> None:
        """Receive which suspects were answered after all, until cancelled."""
        async for received in self._bus.subscribe(RequestServed):
            message = received.message
            # Whoever has written the record takes it out there: the VM that served it may never
            # have seen the record.
            self._served(message.fingerprint)
            if kind_of(message.fingerprint) is SuspectKind.PART:
                self._sound.record_begin((message.fingerprint,), self._timers.now)
            if self._suspects.record_answer(message.fingerprint, self._timers.now, is_own=False):
                self._pass_on(message, source=received.sender.name)

    def tell(self, message: CrashMessage) -> None:
        """Report what this VM saw to all VMs, also to silent ones, which may only be cut off."""
        self._spread.tell(message, for_plain=self._for_plain(message))

    def greet(self, newcomer: Address) -> None:
        """Report the suspects that matter to a VM that has just started, or was not heard.

        It was not there to hear of the ends when they were told.
        """
        told = self._kept_ends(self._suspects.crashes)
        if told.ends:
            self._bus.send(newcomer, told)

    def tell_kept(self, fingerprint: str) -> None:
        """Report all that is known of a suspect."""
        told = self._kept_ends((fingerprint,))
        if told.ends:
            self.tell(told)

    def _unproven(self, ends: CrashesByRequest) -> CrashesByRequest:
        """Leave out parts on which answers begin, by what this VM has heard of all runs."""
        kept = self._sound.unproven(ends, self._timers.now)
        return {suspect: ends[suspect] for suspect in kept}

    def _pass_on(self, message: CrashMessage, *, source: str) -> None:
        self._spread.pass_on(message, source=source, for_plain=self._for_plain(message))

    def _for_plain(self, message: CrashMessage) -> CrashMessage | None:
        """Return what VMs that are no hubs need; None for nothing."""
        if not isinstance(message, TargetsEnded):
            return message
        kept = self._kept_ends([end.fingerprint for end in message.ends])
        return kept if kept.ends else None

    def _kept_ends(self, fingerprints: Collection[str]) -> TargetsEnded:
        """Return the crashes under some suspects, of those that are worth keeping."""
        now = self._timers.now
        return TargetsEnded(
            ends=tuple(
                EndTold(
                    fingerprint=fingerprint,
                    process=process,
                    age_s=now - end.at,
                    weight=end.weight,
                    requests=end.requests,
                    tested=end.tested,
                )
                for fingerprint, processes in self._suspects.crashes_to_store().items()
                for process, end in processes.items()
                if fingerprint in fingerprints
            )
        )


def _earliest(crashes: CrashesByRequest) -> dict[str, float]:
    """Return when each process has crashed, by the earliest report."""
    crashed_at: dict[str, float] = {}
    for processes in crashes.values():
        for process, crash in processes.items():
            crashed_at[process] = min(crash.at, crashed_at.get(process, crash.at))
    return crashed_at
