"""Rolls out a version of the runners while a run goes on, as an operator would."""

from __future__ import annotations

import itertools

import attrs
import trio

from lagoonlever.decisions.rollouts.versions import RolloutOrder, RolloutState
from lagoonlever.fakes.metadata_store import FakeMetadataStore
from lagoonlever.fakes.platform_runner import Conduct
from lagoonlever.platform.documents import order_document
from lagoonlever.platform.rollouts import ORDERS_PREFIX, read_status, status_key
from lagoonlever.platform.targets import TARGETS_PREFIX
from lagoonlever.soak.site import CALM_S, DRAIN_S, SoakSite, SoakTarget
from lagoonlever.soak.watched import WatchedRunner

ORDER_KEY = f"{ORDERS_PREFIX}apps"
APART = 10
"""Between the machines of the old runners and those of the new ones."""
DECIDED_WITHIN_S = 3.0
"""Beyond the order's time: the store may be slow, and another VM may have to lead."""
LOOK_S = 0.1
STOPPED_S = 2.0
"""From a status in the store until every VM acts on it."""
FAILS_EACH = 2
"""A bad version fails every second call."""
MOST_CALLS = 5_000


def standing_state(store: FakeMetadataStore, order: RolloutOrder) -> RolloutState | None:
    """Return the state that stands in the store of an order; None if there is none yet.

    A status before the order's revision is of a former order, also of one of the same version.
    An older copy of the store may hold a former order; the last one is written again then.
    """
    key = status_key(order.service)
    value = store.value(key)
    if value is None or store.value(ORDER_KEY) != order_document(order):
        return None
    status = read_status(key, value)
    is_former = store.revision_of(key) < store.revision_of(ORDER_KEY)
    return None if is_former or status.version != order.version else status.state


@attrs.define(kw_only=True, eq=False)
class SoakRollout:
    """One order, from the first of its runners to its end."""

    site: SoakSite
    duration_s: float
    is_bad: bool

    async def run(self) -> None:
        """Start the new runners, order them, and act on what is decided."""
        site = self.site
        number = site.runners_version + 1
        version = f"v{number}"
        fresh = await self._start(version)
        order = RolloutOrder(service="apps", version=version, duration_s=self.duration_s)
        ordered_at = trio.current_time()
        site.store.put(ORDER_KEY, order_document(order))
        state = await self._wait_decided(order)
        if state is RolloutState.COMPLETED:
            await self._complete(fresh, number)
            return
        calm = site.is_calm(trio.current_time()) and site.calm_since(ordered_at)
        if state is None and calm:
            site.judge.break_promise("roll-outs are decided", f"{version}: no status in time")
        await self._take_back(fresh, is_known=state is RolloutState.ROLLED_BACK)

    async def _start(self, version: str) -> list[SoakTarget]:
        site = self.site
        at = site.runners_at + (APART if site.runners_at % 100 == 50 else -APART)
        fresh = []
        for place in range(len(site.runners)):
            started = await site.start_target("apps", at + place, version=version)
            if self.is_bad and isinstance(started.server, WatchedRunner):
                conducts = itertools.cycle([Conduct.FAIL] + [Conduct.SERVE] * (FAILS_EACH - 1))
                started.server.conducts.extend(itertools.islice(conducts, MOST_CALLS))
                started.server.is_bad = True
            fresh.append(started)
        return fresh

    async def _wait_decided(self, order: RolloutOrder) -> RolloutState | None:
        """Wait until an order is decided, and return how; None if it isn't in time."""
        with trio.move_on_after(self.duration_s + DECIDED_WITHIN_S):
            while True:
                state = standing_state(self.site.store, order)
                if state is not None and state.is_final:
                    return state
                await trio.sleep(LOOK_S)
        return None

    async def _complete(self, fresh: list[SoakTarget], number: int) -> None:
        """Stop the old runners at once."""
        site = self.site
        if self.is_bad:
            site.judge.counts["bad versions that were completed"] += 1
        old, site.runners = site.runners, fresh
        site.runners_at += APART if site.runners_at % 100 == 50 else -APART
        site.runners_version = number
        site.targets_disturbed_at = trio.current_time()
        for runner in old:
            runner.scope.cancel()
            site.store.delete(f"{TARGETS_PREFIX}{runner.target.id}")

    async def _take_back(self, fresh: list[SoakTarget], *, is_known: bool) -> None:
        """Have the new runners drain and go; of a status in calm, every VM must know."""
        site = self.site
        await trio.sleep(STOPPED_S)
        if is_known and site.is_calm(trio.current_time()):
            for runner in fresh:
                if isinstance(runner.server, WatchedRunner):
                    runner.server.known_to_leave_at = trio.current_time()
        await trio.sleep(CALM_S)
        for runner in fresh:
            site.list_target(attrs.evolve(runner.target, draining=True))
        await trio.sleep(DRAIN_S)
        for runner in fresh:
            runner.scope.cancel()
            site.store.delete(f"{TARGETS_PREFIX}{runner.target.id}")
