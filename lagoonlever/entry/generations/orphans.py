"""Tells a peer of this VM's long streams, and cancels those of VMs that died."""

from __future__ import annotations

from collections import defaultdict

import attrs
import logbook
import trio

from lagoonlever.decisions.membership.membership import Member, MemberView
from lagoonlever.decisions.streams.orphans import OrphanRegistry, StreamRecord, StreamReporter
from lagoonlever.decisions.streams.record_placement import select_record_holders
from lagoonlever.entry.engines.engines import Engines
from lagoonlever.entry.generations.attempt import cancel_stream
from lagoonlever.events import event
from lagoonlever.peers.interface import Bus
from lagoonlever.peers.messages_generations import StreamsClosed, StreamsOpened
from lagoonlever.published import Published
from lagoonlever.timers import Tick, TimerService

log = logbook.Logger(__name__)

PERIOD_S = 1.0

ORPHAN_CANCELLED = event(
    220,
    "orphan-cancelled",
    "notice",
    "Stream {stream} at {engine} is cancelled: its VM died and no caller came back.",
    "Engine work is saved that nobody would have read. Nothing to do.",
)


@attrs.define(kw_only=True, eq=False)
class OrphanPart:
    """The part that keeps streams from running on for nobody after a VM's death."""

    _engines: Engines
    _members: Published[MemberView]
    _bus: Bus
    _timers: TimerService
    _background: trio.Nursery
    _reporter: StreamReporter = attrs.field(factory=StreamReporter)
    _holder: OrphanRegistry = attrs.field(factory=OrphanRegistry)

    async def run(self) -> None:
        """Tell, hear and cancel until cancelled."""
        async with trio.open_nursery() as nursery:
            with self._timers.subscribed(self._on_tick, period_s=PERIOD_S):
                nursery.start_soon(self._hear_opened)
                nursery.start_soon(self._hear_closed)
                await trio.sleep_forever()

    def _on_tick(self, tick: Tick) -> None:
        if tick.paused_s:
            self._holder.discount_pause(tick.paused_s)
        view = self._members.value
        self._tell_opened(view, tick.now)
        self._tell_closed(view)
        for record in self._holder.pop_due(view, tick.now):
            ORPHAN_CANCELLED.log(log, stream=record.stream_id, engine=str(record.engine))
            self._background.start_soon(cancel_stream, record.engine, record.stream_id)

    def _tell_opened(self, view: MemberView, now: float) -> None:
        open_streams = self._engines.open_streams
        by_holder: defaultdict[Member, list[StreamRecord]] = defaultdict(list)
        since = {name: stream.since for name, stream in open_streams.items()}
        for name in self._reporter.due_reports(since, now):
            stream = open_streams[name]
            for holder in select_record_holders(stream.request_id, view, count=1):
                by_holder[holder].append(StreamRecord(stream_id=name, engine=stream.engine))
                self._reporter.record_report(name, holder.incarnation)
        for holder, records in by_holder.items():
            message = StreamsOpened(records=tuple(records))
            self._bus.send(holder.peers, message, expected=holder.incarnation)

    def _tell_closed(self, view: MemberView) -> None:
        since = {name: stream.since for name, stream in self._engines.open_streams.items()}
        by_holder: defaultdict[Member, list[str]] = defaultdict(list)
        for name, incarnation in self._reporter.pop_ended(since):
            holder = view.find(incarnation)
            if holder is not None:
                by_holder[holder].append(name)
        for holder, names in by_holder.items():
            message = StreamsClosed(stream_ids=tuple(names))
            self._bus.send(holder.peers, message, expected=holder.incarnation)

    async def _hear_opened(self) -> None:
        async for received in self._bus.subscribe(StreamsOpened):
            for record in received.message.records:
                self._holder.add_record(record, owner=received.sender, now=self._timers.now)

    async def _hear_closed(self) -> None:
        async for received in self._bus.subscribe(StreamsClosed):
            self._holder.remove_records(received.message.stream_ids, owner=received.sender)
