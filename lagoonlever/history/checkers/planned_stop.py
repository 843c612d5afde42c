"""A planned stop cuts no request, and serves whoever comes with an address told to it in time.

Rests on what callers saw at the VM's address. A VM that a test killed during its
stop is excused from its death on.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence

import attrs

from lagoonlever.history.checkers import Violation, checker
from lagoonlever.history.events import HistoryEvent, RunEnded
from lagoonlever.history.events_stops import CallerCut, CallerNotConnected, CallerToldAddresses
from lagoonlever.history.events_targets import FaultInjected
from lagoonlever.history.events_vms import VmStopBegan, VmStopEnded

NAME = "planned_stop"


@attrs.define(kw_only=True)
class _Stop:
    """One VM's planned stop."""

    vm: str
    address: str
    ended: bool = False
    killed: bool = False


@checker(NAME)
def check(events: Sequence[HistoryEvent]) -> list[Violation]:
    """Check each stop: nothing held at its end, no caller cut, every told address served."""
    return list(_violations(events))


def _violations(events: Sequence[HistoryEvent]) -> Iterator[Violation]:
    stops: dict[str, _Stop] = {}
    told: list[CallerToldAddresses] = []
    for event in sorted(events, key=lambda each: each.at):
        if isinstance(event, VmStopBegan):
            stops[event.address] = _Stop(vm=event.vm, address=event.address)
        elif isinstance(event, CallerToldAddresses):
            told.append(event)
        elif isinstance(event, FaultInjected):
            _note_death(stops, event)
        elif isinstance(event, VmStopEnded):
            yield from _end(stops, event)
        elif isinstance(event, CallerCut | CallerNotConnected):
            yield from _judge(stops, told, event)
        elif isinstance(event, RunEnded):
            yield from _unended(stops, event)


def _note_death(stops: dict[str, _Stop], event: FaultInjected) -> None:
    for stop in stops.values():
        if stop.vm == event.place:
            stop.killed = True


def _end(stops: dict[str, _Stop], event: VmStopEnded) -> Iterator[Violation]:
    for stop in stops.values():
        if stop.vm == event.vm:
            stop.ended = True
    if event.open_requests:
        message = f"ended with {event.open_requests} requests open"
        yield Violation(checker=NAME, subject=event.vm, at=event.at, message=message)


def _judge(
    stops: dict[str, _Stop],
    told: list[CallerToldAddresses],
    event: CallerCut | CallerNotConnected,
) -> Iterator[Violation]:
    stop = stops.get(event.address)
    if stop is None or stop.killed:
        return
    if isinstance(event, CallerCut):
        message = f"cut {event.caller} in the middle of {event.request}"
        yield Violation(checker=NAME, subject=stop.vm, at=event.at, message=message)
        return
    if any(_still_told(each, event) for each in told):
        message = f"took no connection of {event.caller}, which had the address from the system"
        yield Violation(checker=NAME, subject=stop.vm, at=event.at, message=message)


def _still_told(told: CallerToldAddresses, event: CallerNotConnected) -> bool:
    if told.caller != event.caller or event.address not in told.addresses:
        return False
    return event.at <= told.at + told.lifetime_s


def _unended(stops: dict[str, _Stop], event: RunEnded) -> Iterator[Violation]:
    for stop in stops.values():
        if not stop.ended and not stop.killed:
            message = "the run ended before its stop did"
            yield Violation(checker=NAME, subject=stop.vm, at=event.at, message=message)
