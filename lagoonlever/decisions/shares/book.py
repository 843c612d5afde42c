"""The book of one pool: who uses and wants it on all VMs, and what may start on this one."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping

import attrs

from lagoonlever.decisions.shares.exchange import (
    LeafChange,
    LeafSum,
    OwnSums,
    PeerSums,
    SumsNews,
)
from lagoonlever.decisions.shares.ledger import ShareLedger
from lagoonlever.decisions.shares.meter import OrganisationStanding, ShareMeter
from lagoonlever.decisions.shares.shares import ShareTree, leaf_key, node_of
from lagoonlever.decisions.shares.slots import (
    LeafDemand,
    PoolReport,
    divide_slots,
    own_part,
    silent_part,
    slot_pull,
)
from lagoonlever.identity import Incarnation

LEDGER_PERIOD_S = 0.25
DIVISION_GAP_S = 0.1
"""Slots are divided anew at most this often: with 200 organisations it takes milliseconds."""
SILENT_HOLD_S = 30.0
"""Without reports from engines, a silent peer is taken to use its slots for this long."""
ENTRY_PART = 0.1
"""Requests that may queue at the engines, as a part of the slots."""
MIN_ENTRY_SLOTS = 1.0
URGENT_LAG_S = 2.0
"""An organisation this far behind its share may fill all of that room."""
SETTLE_S = 3.0
"""A VM that started less than this ago goes by the engines' reports: peers have yet to speak."""
GONE_PART = 0.25
"""Silent peers of which the engines show less than this are taken to be dead."""
EXCESS_WINDOW_S = 3.0
"""Time constant over which reports of engines are compared with what peers say."""


@attrs.define(kw_only=True)
class _Use:
    committed: float = 0.0
    running: int = 0
    waiting: int = 0


@attrs.define(kw_only=True)
class _Leaf:
    total: _Use = attrs.field(factory=_Use)
    own: _Use = attrs.field(factory=_Use)


class ShareBook:
    """Ledger, sums and slots of one pool, kept in step."""

    def __init__(self, *, tree: ShareTree, max_running: Mapping[str, float]) -> None:
        self._tree = tree
        self._max_running = max_running
        self._ledger = ShareLedger(tree=tree, max_running=max_running)
        self._own_sums = OwnSums()
        self._peers = PeerSums()
        self._leaves: dict[int, _Leaf] = {}
        self._paths = {leaf_key(leaf): leaf for leaf in tree.leaves}
        self._own_waiting: dict[str, int] = {}
        self._own_running = 0
        self._heard_running = 0
        self._silent: list[LeafSum] = []
        self._silent_part = 0.0
        self._silent_running = 0
        self._unheard_running = 0
        self._started_at: float | None = None
        self._excess = 0.0
        self._weighed_at = -math.inf
        self._report = PoolReport(slots=0)
        self._quota = 0.0
        self._parts: dict[str, float] = {}
        self._divided: dict[str, float] = {}
        self._meter = ShareMeter()
        self._quota_known = False
        self._ticked_at = -math.inf
        self._divided_at = -math.inf

    @property
    def own_running(self) -> int:
        """Requests that this VM has running."""
        return self._own_running

    @property
    def quota(self) -> float:
        """The slots that this VM may use, as last worked out."""
        return self._quota

    @property
    def slots(self) -> int:
        """The slots of the pool."""
        return self._report.slots

    @property
    def live_peers(self) -> int:
        """How many peers were heard of late."""
        return self._peers.live_count

    def own_slots(self, leaf: str) -> float:
        """Give this VM's part of the slots that a leaf is to have now."""
        return self._parts.get(leaf, 0.0)

    def own_waiting(self, path: str) -> int:
        """Count the requests below a node that wait at this VM."""
        return self._own_waiting.get(path, 0)

    def lag_s(self, path: str) -> float:
        """Give how far a node is ahead of its share (negative: behind), in seconds of service."""
        return self._ledger.lag_s(path)

    def has_room(self, leaf: str) -> bool:
        """Tell whether the limits of a leaf and of all above it let another request run."""
        return all(self._ledger.has_room(path) for path in self._line(leaf))

    def next_leaf(self) -> str | None:
        """Give the leaf whose request is to start here now, or None."""
        if not self._ledger.has_room(self._tree.root):
            return None
        return self._ledger.choose(self._may_serve)

    def may_start(self, leaf: str) -> bool:
        """Tell whether this VM may use one more slot for a leaf."""
        running = self._seen_running
        slots = self._report.slots
        if running < slots and self._own_running < self._quota:
            return True
        # While others hold its slots with generations of minutes, an organisation that is
        # behind its share may queue at the engines, which start it first: its wait is then
        # the time until any slot of any VM falls free, not until one of this VM does.
        behind = self._ledger.lag_s(self._tree.chain(leaf)[0]) <= 0
        own_running = self._leaf(leaf_key(leaf)).own.running
        limit = slots + self._urgency(leaf) * max(MIN_ENTRY_SLOTS, ENTRY_PART * slots)
        return behind and own_running < self.own_slots(leaf) and running < limit

    def filled(self, leaf: str) -> float:
        """Give the part of the slots meant for a leaf, on all VMs, that it has running."""
        running = self._leaf(leaf_key(leaf)).total.running
        meant = self._divided.get(leaf, 0.0)
        return min(1.0, running / meant) if meant > 0 else 1.0

    def replace_tree(self, tree: ShareTree, *, max_running: Mapping[str, float]) -> None:
        """Take on another version of the tree; the caller moves its requests itself."""
        self._tree = tree
        self._max_running = max_running
        self._paths = {leaf_key(leaf): leaf for leaf in tree.leaves}
        self._ledger.replace_tree(tree, max_running=max_running)
        for key, leaf in self._leaves.items():
            path = self._paths.get(key)
            if path is not None:
                self._ledger.add_demand(
                    path, running=leaf.total.running, waiting=leaf.total.waiting
                )
        self._quota_known = False

    def set_report(self, report: PoolReport) -> None:
        """Take on the slots of the live engines and their load report."""
        self._report = report
        self._quota_known = False

    def standing(self) -> list[OrganisationStanding]:
        """Give how each organisation stands, for reports."""
        used = self._meter.parts(self._tree.children(self._tree.root))
        entitled = self._entitled()
        return [
            OrganisationStanding(
                path=node_of(path),
                lag_s=self._ledger.lag_s(path),
                used=used.get(path, 0.0),
                entitled=entitled.get(path, 0.0),
                waiting_here=self.own_waiting(path),
            )
            for path in self._tree.children(self._tree.root)
        ]

    def add_own(
        self, leaf: str, *, now: float, work: float = 0.0, running: int = 0, waiting: int = 0
    ) -> None:
        """Count this VM's own use: work committed, requests beginning or ceasing to run or wait."""
        key = leaf_key(leaf)
        own = self._leaf(key).own
        own.committed += work
        own.running += running
        own.waiting += waiting
        self._own_running += running
        for path in self._line(leaf):
            self._own_waiting[path] = self._own_waiting.get(path, 0) + waiting
        self._apply(LeafChange(key=key, work=work, running=running, waiting=waiting))
        told = LeafSum(
            key=key,
            committed=round(own.committed),
            running=own.running,
            waiting=own.waiting,
        )
        self._own_sums.update(told, now)

    def receive(self, sender: Incarnation, news: SumsNews, now: float) -> None:
        """Take on a peer's sums."""
        if not self._peers.hears(sender):
            # It is new, or back after a cut, and has not heard of us for as long.
            self._own_sums.ask_full()
        self._apply_all(self._peers.receive(sender, news, now))

    def excuse(self, paused_s: float) -> None:
        """Count no silence of peers for a time in which this VM itself was paused."""
        self._peers.excuse(paused_s)

    def greet(self) -> None:
        """Tell everything next time, because a peer is new."""
        self._own_sums.ask_full()

    def due_news(self, now: float) -> SumsNews | None:
        """Give what is to be told to the peers now, or None."""
        return self._own_sums.due_news(now)

    def refresh(self, now: float) -> None:
        """Age what was heard, and work out the quota anew if anything changed."""
        if self._started_at is None:
            self._started_at = now
        if now >= self._ticked_at + LEDGER_PERIOD_S:
            self._ticked_at = now
            self._apply_all(self._peers.age(now, silent_part=self._silent_part))
            self._weigh_silence(now)
            self._ledger.tick(now)
            self._meter.tick(now, self._running_by_path())
            self._quota_known = False
        if self._quota_known or now < self._divided_at + DIVISION_GAP_S:
            return
        self._divided_at = now
        demand = self._demand()
        slots = self._report.slots
        self._divided = divide_slots(
            tree=self._tree,
            demand=demand,
            slots=slots,
            pull=self._pull,
            max_running=self._max_running,
        )
        self._parts = own_part(divided=self._divided, demand=demand)
        spare = max(0.0, slots - sum(self._divided.values()))
        self._quota = sum(self._parts.values()) + spare / (self._peers.live_count + 1)
        self._quota_known = True

    def _urgency(self, leaf: str) -> float:
        """Give how much of the engines' queues a leaf may fill, from 0 to 1.

        Were it the same for all that are behind, those a little behind would take the
        room as fast as those far behind, and these would need long to catch up.
        """
        behind_s = -self._ledger.lag_s(self._tree.chain(leaf)[0])
        return min(1.0, max(behind_s / URGENT_LAG_S, 1.0 - self.filled(leaf)))

    def _weigh_silence(self, now: float) -> None:
        """Judge by the engines' reports how much of the silent peers' use goes on."""
        elapsed_s = min(now - self._weighed_at, EXCESS_WINDOW_S)
        self._weighed_at = now
        reported = self._report.running
        horizon = now - SILENT_HOLD_S if reported is None else -math.inf
        self._silent = self._peers.silent_leaves(heard_after=horizon)
        running = sum(leaf.running for leaf in self._silent)
        # A VM that has just started has heard of nobody: the pool would seem idle to it.
        settling = self._started_at is not None and now < self._started_at + SETTLE_S
        self._unheard_running = max(0, (reported or 0) - self._own_running) if settling else 0
        # A peer that falls silent is taken to go on, until reports show otherwise: to wait
        # for them first would let both sides of a cut take the whole pool meanwhile.
        self._excess += running - self._silent_running
        self._silent_running = running
        if reported is None:
            self._silent_part = 1.0 if running else 0.0
            return
        # Reports are late, so a single difference is as often too high as too low.
        keep = math.exp(-elapsed_s / EXCESS_WINDOW_S)
        self._excess = keep * self._excess + (1.0 - keep) * (reported - self._heard_running)
        self._silent_part = silent_part(excess=self._excess, silent_running=running)
        if running and self._silent_part < GONE_PART:
            # What is left is the error of late reports: to charge that on as a dead
            # peer's use would put its organisations in debt for work that nobody did.
            self._peers.give_up_silent()

    @property
    def _seen_running(self) -> float:
        seen = self._heard_running + self._silent_part * self._silent_running
        return max(seen, self._own_running + self._unheard_running)

    def _pull(self, path: str) -> float:
        above = self._tree.parent(path) or self._tree.root
        return slot_pull(
            weight=self._tree.weight(path),
            pace=self._meter.pace(path, above=above),
            lag_s=self._ledger.lag_s(path),
        )

    def _running_by_path(self) -> dict[str, int]:
        running: dict[str, int] = {}
        for key, leaf in self._leaves.items():
            for path in self._line(self._paths[key]) if key in self._paths else ():
                running[path] = running.get(path, 0) + leaf.total.running
        return running

    def _entitled(self) -> dict[str, float]:
        slots = sum(self._divided.values())
        entitled: dict[str, float] = {}
        for leaf, part in self._divided.items():
            organisation = self._tree.chain(leaf)[0]
            entitled[organisation] = entitled.get(organisation, 0.0) + part / slots
        return entitled

    def _demand(self) -> dict[str, LeafDemand]:
        silent: dict[int, float] = {}
        for one in self._silent:
            count = self._silent_part * (one.running + one.waiting)
            silent[one.key] = silent.get(one.key, 0.0) + count
        demand: dict[str, LeafDemand] = {}
        for key, leaf in self._leaves.items():
            path = self._paths.get(key)
            total = leaf.total.running + leaf.total.waiting + silent.get(key, 0.0)
            if path is not None and total > 0:
                own = leaf.own.running + leaf.own.waiting
                demand[path] = LeafDemand(total=total, own=own)
        return demand

    def _may_serve(self, path: str) -> bool:
        if self.own_waiting(path) == 0 or not self._ledger.has_room(path):
            return False
        return not self._tree.is_leaf(path) or self.may_start(path)

    def _line(self, leaf: str) -> tuple[str, ...]:
        return (self._tree.root, *self._tree.chain(leaf))

    def _leaf(self, key: int) -> _Leaf:
        return self._leaves.setdefault(key, _Leaf())

    def _apply_all(self, changes: Iterable[LeafChange]) -> None:
        for change in changes:
            self._apply(change)

    def _apply(self, change: LeafChange) -> None:
        total = self._leaf(change.key).total
        total.committed += change.work
        total.running += change.running
        self._heard_running += change.running
        total.waiting += change.waiting
        path = self._paths.get(change.key)
        if path is None:
            return
        if change.work:
            self._meter.add(self._line(path), change.work)
            self._ledger.commit(path, change.work)
        if change.running or change.waiting:
            self._ledger.add_demand(path, running=change.running, waiting=change.waiting)
            self._quota_known = False
