"""The targets' watch of a VM: publishes the view of the targets, and guards each dispatch.

It reads the platform's list as membership publishes it, hears from peers which
targets leave, asks peers how fresh their list is while its own is stale, and
takes in what the probes learn.
"""

from __future__ import annotations

import random

import attrs
import logbook
import trio

from lagoonlever.config.options import option
from lagoonlever.decisions.membership.membership import MemberView
from lagoonlever.decisions.targets.freshness import ListStatus
from lagoonlever.decisions.targets.listing import TargetListReading
from lagoonlever.decisions.targets.load import LOAD_STALE_S, TargetReports
from lagoonlever.decisions.targets.targets import (
    ModelKey,
    Target,
    TargetLoad,
    TargetState,
    TargetView,
)
from lagoonlever.decisions.targets.watch import Send, TargetKnowledge
from lagoonlever.events import event
from lagoonlever.peers.interface import Bus
from lagoonlever.peers.messages_targets import (
    TargetLeavingNews,
    TargetListAnswer,
    TargetListAsk,
)
from lagoonlever.published import Published
from lagoonlever.timers import Tick, TimerService

log = logbook.Logger(__name__)

TARGET_LEAVING = event(
    700,
    "target-leaving",
    "notice",
    "Target {target} at {address} leaves; it gets no new work.",
    "The platform's list, or a peer that read it, says that the target leaves. Nothing to do.",
)
TARGET_GONE = event(
    701,
    "target-gone",
    "notice",
    "Target {target} at {address} is no longer listed.",
    "The platform's list no longer names the target. Nothing to do if it was taken out.",
)
TARGETS_ISOLATED = event(
    702,
    "targets-isolated",
    "error",
    "No new work to any target: the list is {age_s:.1f} s old and most peers do not answer.",
    "This VM reaches neither the platform nor most of its peers, so it can't know which targets "
    "leave. Requests are answered not-run with the reason isolated. Check this VM's network.",
)
TARGETS_LIST_OUTAGE = event(
    703,
    "targets-list-outage",
    "warning",
    "The platform's list is {age_s:.1f} s old at this VM and at its peers; it is still used.",
    "No VM that answers can read the list. Take no target out until the platform is back: "
    "nobody would be told.",
)
TARGETS_LIST_FRESH = event(
    704,
    "targets-list-fresh",
    "notice",
    "The platform's list of targets is read in time again.",
    "The end of event 702 or 703.",
)
_BELIEF_EVENTS = {
    ListStatus.ISOLATED: TARGETS_ISOLATED,
    ListStatus.PLATFORM_OUTAGE: TARGETS_LIST_OUTAGE,
    ListStatus.FRESH: TARGETS_LIST_FRESH,
}
_STATE_EVENTS = {TargetState.LEAVING: TARGET_LEAVING, TargetState.GONE: TARGET_GONE}

ASK_PERIOD_S = 0.4
BELIEF_PERIOD_S = 0.1
REFRESH_PERIOD_S = 1.0
"""Loads and impairments age without any news."""


@attrs.frozen(kw_only=True)
class TargetSettings:
    """The section ``targets`` of a VM's settings."""

    probe_rate: float = option(
        default=6.0, at_least=0.1, at_most=1000, doc="Load probes a second over all targets."
    )
    cache_event_rate: float = option(
        default=1.0, at_least=0, at_most=100, doc="Reads of engines' cache events a second."
    )
    probe_timeout_s: float = option(
        default=2.0, at_least=0.05, at_most=60, doc="Seconds until a probe counts as failed."
    )
    subset_size: int = option(
        default=48, at_least=1, at_most=10000, doc="Targets that this VM uses of a large fleet."
    )
    load_stale_s: float = option(
        default=LOAD_STALE_S, at_least=0.5, at_most=600, doc="Age at which a load is dropped."
    )


@attrs.define(kw_only=True, eq=False)
class TargetWatch:
    """Owns what this VM knows of the targets; tasks of ``run`` are the only writers."""

    _readings: Published[TargetListReading | None]
    _members: Published[MemberView]
    _bus: Bus
    _timers: TimerService
    _random: random.Random
    _settings: TargetSettings = attrs.field(factory=TargetSettings)
    _knowledge: TargetKnowledge = attrs.field(init=False)
    _reports: TargetReports = attrs.field(init=False)
    _belief: ListStatus = attrs.field(default=ListStatus.FRESH, init=False)
    _states: dict[str, TargetState] = attrs.field(factory=dict, init=False)
    view: Published[TargetView] = attrs.field(init=False)
    """The latest view; while this VM is isolated every live target in it is ``UNSURE``."""

    def __attrs_post_init__(self) -> None:
        self._knowledge = TargetKnowledge(
            own=self._bus.address, rng=self._random, members=self._members.value
        )
        self._reports = TargetReports(stale_s=self._settings.load_stale_s)
        self.view = Published(TargetView())

    @property
    def belief(self) -> ListStatus:
        """Whether the list of targets may be believed now."""
        return self._knowledge.list_status(self._timers.now)

    def check_before_dispatch(self, target: Target) -> bool:
        """Tell whether work may be written to a target now; ask right before each write.

        Guards against the time between choosing and writing: in a queue, behind
        a hedge's delay, in a connect, or in a pause of this process the target
        may have begun to leave. Ages count by the clock, so a process that
        wakes from a pause finds its list stale and refuses until it is read or
        peers have answered.
        """
        return self._knowledge.may_dispatch(target.name, target.address, self._timers.now)

    def needs_models(self, target: Target) -> bool:
        """Tell whether an engine has not yet told which models it serves."""
        return self._reports.needs_models(target)

    def models_read(self, target: Target, models: tuple[ModelKey, ...]) -> None:
        """Take the models that an engine serves."""
        self._reports.record_models(target, models)
        self._publish()

    def load_read(self, target: Target, load: TargetLoad) -> None:
        """Take a load report."""
        self._reports.record_load(target, load)
        self._publish()

    def connected(self, target: Target) -> None:
        """Note that a target answered."""
        self._reports.record_connect(target)

    def connect_failed(self, target: Target) -> None:
        """Note that a target was not reached or stayed silent: others are preferred."""
        self._reports.record_connect_failure(target, self._timers.now)
        self._publish()

    async def run(self) -> None:
        """Follow the list, the peers and the clock until cancelled."""
        async with trio.open_nursery() as nursery:
            with (
                self._timers.subscribed(self._ask_peers, period_s=ASK_PERIOD_S),
                self._timers.subscribed(self._reconsider, period_s=BELIEF_PERIOD_S),
                self._timers.subscribed(lambda _: self._publish(), period_s=REFRESH_PERIOD_S),
            ):
                nursery.start_soon(self._follow_list)
                nursery.start_soon(self._follow_members)
                nursery.start_soon(self._hear_news)
                nursery.start_soon(self._answer_asks)
                nursery.start_soon(self._hear_answers)
                await trio.sleep_forever()

    async def _follow_list(self) -> None:
        reading = self._readings.value
        while True:
            if reading is not None:
                self._send(self._knowledge.on_list_read(reading))
                self._publish()
            reading = await self._readings.wait_change()

    async def _follow_members(self) -> None:
        members = self._members.value
        while True:
            self._knowledge.members_changed(members, self._timers.now)
            members = await self._members.wait_change()

    async def _hear_news(self) -> None:
        async for received in self._bus.subscribe(TargetLeavingNews):
            self._take(self._knowledge.on_leaving_update(received.message, self._timers.now))

    async def _answer_asks(self) -> None:
        async for received in self._bus.subscribe(TargetListAsk):
            self._send(self._knowledge.on_list_query(received.message, self._timers.now))

    async def _hear_answers(self) -> None:
        async for received in self._bus.subscribe(TargetListAnswer):
            self._take(self._knowledge.on_list_answer(received.message, self._timers.now))

    def _take(self, sends: list[Send]) -> None:
        """Send news on; that there is any means that the view changed."""
        self._send(sends)
        if sends:
            self._publish()

    def _send(self, sends: list[Send]) -> None:
        for send in sends:
            self._bus.send(send.to, send.message)

    def _ask_peers(self, tick: Tick) -> None:
        self._send(self._knowledge.tick(tick.now))

    def _reconsider(self, tick: Tick) -> None:
        belief = self._knowledge.list_status(tick.now)
        age_s = self._knowledge.list_age_s(tick.now)
        if belief is self._belief or age_s is None:
            return
        self._belief = belief
        _BELIEF_EVENTS[belief].log(log, age_s=age_s)
        self._publish()

    def _publish(self) -> None:
        now = self._timers.now
        targets = tuple(
            self._reports.describe(target, now) for target in self._knowledge.targets(now)
        )
        if targets == self.view.value.targets:
            return
        self._log_changes(targets)
        self._reports.retain(targets)
        self.view.publish(TargetView(targets=targets))

    def _log_changes(self, targets: tuple[Target, ...]) -> None:
        for target in targets:
            log_event = _STATE_EVENTS.get(target.state)
            if log_event is not None and self._states.get(target.name) is not target.state:
                log_event.log(log, target=target.name, address=str(target.address))
        self._states = {target.name: target.state for target in targets}
