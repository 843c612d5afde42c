"""The book of one pool: who uses and wants it on all VMs, and what may start on this one."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping

import attrs

from lagoonlever.decisions.shares import ShareTree, leaf_key
from lagoonlever.decisions.shares_exchange import (
    LeafChange,
    LeafSum,
    OwnSums,
    PeerSums,
    SumsNews,
)
from lagoonlever.decisions.shares_ledger import ShareLedger
from lagoonlever.decisions.shares_meter import OrganisationStanding, ShareMeter
from lagoonlever.decisions.shares_slots import (
    LeafDemand,
    PoolReport,
    divide_slots,
    own_part,
    usable_slots,
)
from lagoonlever.identity import Incarnation

LEDGER_PERIOD_S = 0.25
SILENT_HOLD_S = 30.0
"""Without reports from engines, a silent peer is taken to use its slots for this long."""
ENTRY_MARGIN = 1.0
"""Slots beyond its quota that a VM may use for an organisation behind its share."""


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
        self._report = PoolReport(slots=0)
        self._quota = 0.0
        self._parts: dict[str, float] = {}
        self._divided: dict[str, float] = {}
        self._meter = ShareMeter()
        self._quota_known = False
        self._ticked_at = -math.inf

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
        leaf = self._ledger.choose(self._may_serve)
        if leaf is None or not self.may_start(leaf):
            return None
        return leaf

    def may_start(self, leaf: str) -> bool:
        """Tell whether this VM may use one more slot for a leaf."""
        if self._own_running < self._quota:
            return True
        # The quota of a VM whose only caller belongs to a small organisation is less than
        # one slot and never reached; what is behind its share may enter, engines order it.
        organisation = self._tree.chain(leaf)[0]
        within_margin = self._own_running < self._quota + ENTRY_MARGIN
        return self.slots > 0 and within_margin and self._ledger.lag_s(organisation) <= 0

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
        used = self._meter.parts()
        entitled = self._entitled()
        return [
            OrganisationStanding(
                path=path,
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
        self._apply_all(self._peers.receive(sender, news, now))

    def retire(self, sender: Incarnation) -> None:
        """Give up the demand of a peer that membership says is dead or gone."""
        self._apply_all(self._peers.retire(sender))

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
        if now >= self._ticked_at + LEDGER_PERIOD_S:
            self._ticked_at = now
            self._apply_all(self._peers.age(now))
            self._ledger.tick(now)
            self._meter.tick(now)
            self._quota_known = False
        if self._quota_known:
            return
        demand = self._demand()
        slots = self._usable_slots(now)
        self._divided = divide_slots(
            tree=self._tree,
            demand=demand,
            slots=slots,
            lag_s=self._ledger.lag_s,
            max_running=self._max_running,
        )
        self._parts = own_part(divided=self._divided, demand=demand)
        spare = max(0.0, slots - sum(self._divided.values()))
        self._quota = sum(self._parts.values()) + spare / (self._peers.live_count + 1)
        self._quota_known = True

    def _usable_slots(self, now: float) -> float:
        reported = self._report.running is not None
        silent = self._peers.silent_running(
            heard_after=-math.inf if reported else now - SILENT_HOLD_S
        )
        known = sum(leaf.total.running for leaf in self._leaves.values())
        return usable_slots(report=self._report, known_running=known, silent_running=silent)

    def _entitled(self) -> dict[str, float]:
        slots = sum(self._divided.values())
        entitled: dict[str, float] = {}
        for leaf, part in self._divided.items():
            organisation = self._tree.chain(leaf)[0]
            entitled[organisation] = entitled.get(organisation, 0.0) + part / slots
        return entitled

    def _demand(self) -> dict[str, LeafDemand]:
        demand: dict[str, LeafDemand] = {}
        for key, leaf in self._leaves.items():
            path = self._paths.get(key)
            total = leaf.total.running + leaf.total.waiting
            if path is not None and total > 0:
                own = leaf.own.running + leaf.own.waiting
                demand[path] = LeafDemand(total=total, own=own)
        return demand

    def _may_serve(self, path: str) -> bool:
        return self.own_waiting(path) > 0 and self._ledger.has_room(path)

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
        total.waiting += change.waiting
        path = self._paths.get(change.key)
        if path is None:
            return
        if change.work:
            self._meter.add(self._tree.chain(path)[0], change.work)
            self._ledger.commit(path, change.work)
        if change.running or change.waiting:
            self._ledger.add_demand(path, running=change.running, waiting=change.waiting)
            self._quota_known = False
