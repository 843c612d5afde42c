"""Who is ahead of and who is behind its share: start-time fair queueing over the tree.

Each node has a start tag: the work it has taken, divided by its weight. Each
parent has a virtual time: the weighted mean of the tags of the children that
wait for service. A child that begins to wait is never placed behind the virtual
time, so that nobody saves up shares while idle.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping

import attrs

from lagoonlever.decisions.shares.shares import ShareTree

MAX_LAG_S = 20.0
"""A node that waits without being served is owed at most this much of its share."""
MAX_DEBT_S = 300.0
"""A node that took more than its share waits at most this long for the others to catch up."""
RATE_WINDOW_S = 5.0
"""Time constant of the rate of a virtual time."""
MIN_RATE = 1e-6


@attrs.define(kw_only=True)
class _Account:
    tag: float = 0.0
    virtual_time: float = 0.0
    rate: float = 0.0
    """Progress of the virtual time a second."""
    rate_seen: float = 0.0
    """How much of the rate's window has been measured, up to 1."""
    measured_time: float = 0.0
    running: int = 0
    waiting: int = 0
    max_running: float = math.inf
    owed: float = 0.0
    """How far it was behind the virtual time when it last ceased to wait."""
    owed_at: float = 0.0
    """The virtual time when it last ceased to wait."""

    @property
    def has_room(self) -> bool:
        """Whether another request below this node may run."""
        return self.running < self.max_running

    @property
    def contends(self) -> bool:
        """Whether it waits for service that it may have: at its own limit it does not."""
        return self.waiting > 0 and self.has_room


class ShareLedger:
    """Start tags and virtual times of all nodes, from the work that all VMs commit."""

    def __init__(self, *, tree: ShareTree, max_running: Mapping[str, float]) -> None:
        self._tree = tree
        self._accounts = {
            path: _Account(max_running=max_running.get(path, math.inf)) for path in tree.paths
        }
        self._measured_at: float | None = None

    def replace_tree(self, tree: ShareTree, *, max_running: Mapping[str, float]) -> None:
        """Take on other nodes, weights or limits; nodes that stay keep their standing.

        Requests running and waiting must be counted anew, as nodes may have moved.
        """
        standing = {path: self.lag_s(path) for path in self._accounts}
        old = self._accounts
        self._tree = tree
        self._accounts = {path: old.get(path) or _Account() for path in tree.paths}
        for path, account in self._accounts.items():
            account.running = account.waiting = 0
            account.owed = 0.0
            account.max_running = max_running.get(path, math.inf)
            parent = tree.parent(path)
            if parent is None:
                continue
            above = self._accounts[parent]
            account.tag = above.virtual_time + standing.get(path, 0.0) * above.rate

    def lag_s(self, path: str) -> float:
        """Give how far a node is ahead of its share (negative: behind), in seconds of service."""
        parent = self._tree.parent(path) if path in self._tree else None
        if parent is None:
            return 0.0
        above = self._accounts[parent]
        if above.rate < MIN_RATE:
            return 0.0
        account = self._accounts[path]
        lag_s = (account.tag - above.virtual_time) / above.rate
        if not account.contends:
            return min(max(lag_s, 0.0), MAX_DEBT_S)
        return min(max(lag_s, -MAX_LAG_S), MAX_DEBT_S)

    def commit(self, leaf: str, work: float) -> None:
        """Charge a leaf, and every node above it, with work (negative: given back)."""
        for path in self._tree.chain(leaf):
            self._accounts[path].tag += work / self._tree.weight(path)

    def add_demand(self, leaf: str, *, running: int = 0, waiting: int = 0) -> None:
        """Count requests that began (negative: ceased) to run or wait on any VM."""
        for path in (self._tree.root, *self._tree.chain(leaf)):
            account = self._accounts[path]
            contended = account.contends
            account.running += running
            account.waiting += waiting
            if account.contends and not contended:
                self._begin_waiting(path)
            elif contended and not account.contends:
                self._cease_waiting(path)

    def has_room(self, path: str) -> bool:
        """Tell whether another request below a node may run by its limit."""
        return self._accounts[path].has_room

    def choose(self, eligible: Callable[[str], bool]) -> str | None:
        """Give the leaf to serve next: from the root down, the least tag first.

        ``eligible`` is asked for inner nodes too, before what is below them.
        """
        return self._choose_below(self._tree.root, eligible)

    def tick(self, now: float) -> None:
        """Bring virtual times and their rates up to now, and bound every standing."""
        elapsed_s = 0.0 if self._measured_at is None else now - self._measured_at
        self._measured_at = now
        for path in self._tree.paths:
            if not self._tree.children(path):
                continue
            self._advance(path)
            self._measure(self._accounts[path], elapsed_s)
            self._bound_children(path)

    def _choose_below(self, here: str, eligible: Callable[[str], bool]) -> str | None:
        children = self._tree.children(here)
        if not children:
            return here
        candidates = [path for path in children if eligible(path)]
        candidates.sort(key=lambda path: (self._accounts[path].tag, path))
        for path in candidates:
            leaf = self._choose_below(path, eligible)
            if leaf is not None:
                return leaf
        return None

    def _begin_waiting(self, path: str) -> None:
        parent = self._tree.parent(path)
        if parent is None:
            return
        self._advance(parent)
        account = self._accounts[path]
        now = self._accounts[parent].virtual_time
        # An organisation that was idle must not come back with the share it left unused:
        # it would shut out all others until it had caught up. What it was owed before it
        # ceased to wait fades as fast as the others were served meanwhile.
        owed = max(0.0, account.owed - (now - account.owed_at))
        account.tag = max(account.tag, now - owed)

    def _cease_waiting(self, path: str) -> None:
        parent = self._tree.parent(path)
        if parent is None:
            return
        account = self._accounts[path]
        account.owed_at = self._accounts[parent].virtual_time
        account.owed = max(0.0, account.owed_at - account.tag)

    def _advance(self, parent: str | None) -> None:
        if parent is None:
            return
        account = self._accounts[parent]
        children = [self._accounts[path] for path in self._tree.children(parent)]
        waiting = [
            (self._tree.weight(path), self._accounts[path].tag)
            for path in self._tree.children(parent)
            if self._accounts[path].contends
        ]
        if waiting:
            total = sum(weight for weight, _ in waiting)
            mean = sum(weight * tag for weight, tag in waiting) / total
            account.virtual_time = max(account.virtual_time, mean)
            return
        # Nobody waits, so what the running ones take is taken from nobody: it makes no debt.
        running = [child.tag for child in children if child.running > 0]
        account.virtual_time = max([account.virtual_time, *running])

    def _measure(self, account: _Account, elapsed_s: float) -> None:
        if elapsed_s <= 0:
            return
        progress = (account.virtual_time - account.measured_time) / elapsed_s
        account.measured_time = account.virtual_time
        keep = math.exp(-elapsed_s / RATE_WINDOW_S)
        seen = keep * account.rate_seen + (1.0 - keep)
        account.rate += (progress - account.rate) * (1.0 - keep) / seen
        account.rate_seen = seen

    def _bound_children(self, parent: str) -> None:
        above = self._accounts[parent]
        if above.rate < MIN_RATE:
            return
        lowest = above.virtual_time - MAX_LAG_S * above.rate
        highest = above.virtual_time + MAX_DEBT_S * above.rate
        for path in self._tree.children(parent):
            account = self._accounts[path]
            if account.contends:
                account.tag = max(account.tag, lowest)
            account.tag = min(account.tag, highest)
