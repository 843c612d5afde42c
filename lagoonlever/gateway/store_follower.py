"""Reads the configuration and the list of targets from the store, and follows their changes.

Every VM reads both once, at its start. Then only those whose role it is follow the
changes, and push them to the others; a VM that hears no other one reads for itself, as
it has the role in its own view.
"""

from __future__ import annotations

import random

import attrs
import logbook
import trio

from lagoonlever.decisions.fleet.roles import Roles
from lagoonlever.decisions.rollouts.versions import is_of_order
from lagoonlever.decisions.targets.listed_target import ListedTarget, TargetChange
from lagoonlever.exceptions import PlatformError
from lagoonlever.gateway import events
from lagoonlever.gateway.beliefs import Beliefs
from lagoonlever.gateway.knowledge import KnowledgeExchange
from lagoonlever.gateway.learner import Learner
from lagoonlever.gateway.rollouts import Rollouts
from lagoonlever.platform.configuration import CONFIGURATION_KEY
from lagoonlever.platform.rollouts import (
    OPERATOR_PREFIX,
    ORDERS_PREFIX,
    STATUS_PREFIX,
    UnreadableRollout,
    read_order,
    read_status,
)
from lagoonlever.platform.store import MetadataStore
from lagoonlever.platform.targets import TARGETS_PREFIX, UnreadableTarget, read_target
from lagoonlever.published import Published
from lagoonlever.revisions import NOWHERE, Revision
from lagoonlever.store.port import KeyChange, KeyValue, WatchBatch, WatchCompacted
from lagoonlever.timers import Tick, TimerService

log = logbook.Logger(__name__)

GATHER_S = 0.2
"""Between a change and the next call that waits: what changes meanwhile comes in one call.

Engines of a data centre come back together, each by an entry of its own; without the
pause each entry is a call of every VM. A change must be in force within 2 s.
"""
FIRST_RETRY_S = 0.1
MOST_RETRY_S = 0.8
"""Refused calls are paid for too, and a change must be in force within 2 s."""
EXPIRE_PERIOD_S = 0.3
"""As often as this VM says that it lives, so that it wakes up once for both."""


@attrs.define(kw_only=True, eq=False)
class StoreFollower:
    """Reads, watches, and pushes what has changed."""

    _store: MetadataStore
    _beliefs: Beliefs
    _learner: Learner
    _knowledge: KnowledgeExchange
    _roles: Published[Roles | None]
    _timers: TimerService
    _rng: random.Random
    _rollouts: Rollouts | None = None
    """None where operators order no versions."""
    _retry_s: float = FIRST_RETRY_S

    async def run(self) -> None:
        """Read both parts, and follow the changes while that is this VM's role."""
        with self._timers.subscribed(self._expire, period_s=EXPIRE_PERIOD_S):
            await self._read_first()
            while True:
                await self._wait_role()
                await self._follow_while_reader()

    async def _read_first(self) -> None:
        """Read at the start, unless another VM has told everything before the store did.

        Once is enough also where the operators have written nothing yet: what they
        write is a change, and comes as one.
        """
        while not self._beliefs.known.is_set():
            try:
                await self._read()
            except PlatformError:
                await self._wait_retry()
                continue
            return

    async def _wait_role(self) -> None:
        while not self._is_reader:
            await self._roles.wait_change()

    @property
    def _is_reader(self) -> bool:
        roles = self._roles.value
        return roles is not None and roles.reads_store

    async def _follow_while_reader(self) -> None:
        """Watch both parts until the role is another VM's, or changes were lost."""
        compacted = False
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._cancel_without_role, nursery.cancel_scope)
            after = former = self._beliefs.targets.as_of
            for prefix in (self._operator_prefix, TARGETS_PREFIX):
                nursery.start_soon(self._watch, prefix, after, nursery.cancel_scope)
        compacted = self._is_reader
        if not compacted:
            return
        events.WATCH_COMPACTED.log(log, revision=former)
        try:
            await self._read()
        except PlatformError:
            await self._wait_retry()
            return
        if self._beliefs.targets.as_of <= former:
            # What was read is no newer, so that the next watch may meet the same.
            await self._wait_retry()

    async def _cancel_without_role(self, scope: trio.CancelScope) -> None:
        while self._is_reader:
            await self._roles.wait_change()
        scope.cancel()

    async def _watch(self, prefix: str, after: Revision, both: trio.CancelScope) -> None:
        """Follow one prefix; ends both watches once the store has forgotten changes.

        Both may meet that at the same moment, so it is no exception here.
        """
        watch = self._store.watch(prefix, after_revision=after)
        while True:
            try:
                batch = await watch.next()
            except WatchCompacted:
                both.cancel()
                return
            except PlatformError:
                await self._wait_retry()
                continue
            self._retry_s = FIRST_RETRY_S
            self._take(prefix, batch)
            if batch.changes:
                await trio.sleep(GATHER_S)

    async def _read(self) -> None:
        """Read both parts together, and push what is new."""
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._read_configuration)
                nursery.start_soon(self._read_targets)
        except BaseExceptionGroup as group:
            # Not by ``except*``: what is raised there comes out in a group again, which
            # nobody expects, and this part would end and start anew at each failed read.
            # A failure beside a cancellation, as at a stop, is dropped: it would leave the
            # daemon as its error. The store's client has logged it.
            failures, others = group.split(PlatformError)
            if others is not None:
                raise others from None
            if failures is not None:
                raise _first_of(failures) from group
        self._retry_s = FIRST_RETRY_S

    @property
    def _operator_prefix(self) -> str:
        return CONFIGURATION_KEY if self._rollouts is None else OPERATOR_PREFIX

    async def _read_configuration(self) -> None:
        if self._rollouts is None:
            read = await self._store.get(CONFIGURATION_KEY)
            entries = tuple(entry for entry in (read.entry,) if entry is not None)
        else:
            entries = (await self._store.get_prefix(OPERATOR_PREFIX)).entries
        for entry in entries:
            self._take_operators(entry, witnessed=False)
        if self._rollouts is not None and self._rollouts.known:
            await self._read_statuses(self._rollouts)

    async def _read_statuses(self, rollouts: Rollouts) -> None:
        """Record what became of orders that were given before this VM read them."""
        for entry in (await self._store.get_prefix(STATUS_PREFIX)).entries:
            rollout = rollouts.find(entry.key.removeprefix(STATUS_PREFIX))
            if rollout is None or not is_of_order(entry.revision, rollout.tally.ordered_at):
                continue
            try:
                status = read_status(entry.key, entry.value)
            except UnreadableRollout as error:
                events.ROLLOUT_UNREADABLE.log(log, error=str(error))
                continue
            if status.version == rollout.order.version:
                rollouts.decided(rollout, status.state, source="store")

    def _take_operators(self, entry: KeyValue, *, witnessed: bool) -> None:
        """Record what operators have written: the configuration, or an order of a version."""
        if entry.key == CONFIGURATION_KEY:
            self._take_configuration(entry.value)
            return
        if self._rollouts is None or not entry.key.startswith(ORDERS_PREFIX):
            return
        try:
            order = read_order(entry.key, entry.value)
        except UnreadableRollout as error:
            events.ROLLOUT_UNREADABLE.log(log, error=str(error))
            return
        self._rollouts.take_order(order, entry.revision, witnessed=witnessed)

    async def _read_targets(self) -> None:
        after = self._beliefs.targets.as_of
        read = await self._store.get_prefix(TARGETS_PREFIX)
        targets = [target for entry in read.entries if (target := _target(entry)) is not None]
        changes = self._learner.take_list(
            targets, revision=read.revision, source="store", store_back_at=self._store.back_at
        )
        if after > NOWHERE and after.era < read.revision.era:
            self._knowledge.push_list()
        elif changes and after > NOWHERE:
            self._knowledge.push_targets(changes, after=after)

    async def _wait_retry(self) -> None:
        await trio.sleep(self._retry_s * self._rng.uniform(0.7, 1.3))
        self._retry_s = min(MOST_RETRY_S, self._retry_s * 2)

    def _expire(self, tick: Tick) -> None:
        self._beliefs.book.expire(tick.now)
        self._beliefs.fellows.expire(tick.now)
        fellows = self._beliefs.fellows.present(tick.now)
        away = self._store.is_away or any(fellow.store_away for fellow in fellows)
        changes = self._learner.expire(store_away=away)
        if changes and self._is_reader:
            self._knowledge.push_targets(changes, after=self._beliefs.targets.as_of)

    def _take(self, prefix: str, batch: WatchBatch) -> None:
        if prefix == self._operator_prefix:
            for change in batch.changes:
                if change.entry is not None:
                    self._take_operators(change.entry, witnessed=True)
            return
        after = self._beliefs.targets.as_of
        changes = [taken for each in batch.changes if (taken := self._take_target(each))]
        self._beliefs.targets.advance_to(batch.revision)
        if changes:
            self._knowledge.push_targets(tuple(changes), after=after)

    def _take_configuration(self, value: bytes) -> None:
        if self._learner.take_configuration(value, source="store"):
            self._knowledge.push_configuration()

    def _take_target(self, change: KeyChange) -> TargetChange | None:
        """Apply one change of the list; return it if it counts now.

        An entry that can't be read names no target, and ends what it named before. That is
        no lapse, so it is not held as one after an outage.
        """
        target = _target(change.entry) if change.entry else None
        read = TargetChange(
            id=change.key.removeprefix(TARGETS_PREFIX), target=target, revision=change.revision
        )
        lapsed = change.entry is None
        back_at = self._store.back_at if lapsed else None
        counts = self._learner.take_change(read, store_back_at=back_at)
        return read if counts else None


def _target(entry: KeyValue) -> ListedTarget | None:
    try:
        return attrs.evolve(read_target(entry.key, entry.value), revision=entry.revision)
    except UnreadableTarget as error:
        events.TARGET_UNREADABLE.log(log, error=str(error))
        return None


def _first_of(errors: BaseExceptionGroup[PlatformError]) -> PlatformError:
    """Return one error of a group; the store's client has logged each."""
    for error in errors.exceptions:
        if isinstance(error, PlatformError):
            return error
        if isinstance(error, BaseExceptionGroup):
            return _first_of(error)
    raise errors
