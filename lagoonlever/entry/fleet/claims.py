"""Binds plain keys to a home by claims in the platform, many in one call.

The claims hang on a lease that is shared by all claims of some minutes, is
never renewed and outlives each of their keys: expiry costs no call, and a
paused VM loses nothing by its pause.
"""

from __future__ import annotations

import attrs
import logbook
import trio

from lagoonlever.decisions.claims.claim_queue import (
    BindingCache,
    BindingUnknown,
    Bound,
    Claim,
    ClaimQueue,
    ClaimResult,
)
from lagoonlever.decisions.claims.key_table import KeyTable
from lagoonlever.decisions.claims.keys import HomedKey, KeyHome, parse_homed_key
from lagoonlever.entry.services.events import CLAIMS_FAIL
from lagoonlever.entry.services.settings import ServiceSettings
from lagoonlever.exceptions import PlatformAnswerLost, PlatformError
from lagoonlever.store.port import Lease, LeaseLapsed, NewKey, Platform
from lagoonlever.timers import TimerService

CLAIMS_PREFIX = "lagoonlever/claims/"
BUCKET_S = 600.0
"""Claims of this long share a lease."""
LEASE_MARGIN_S = 300.0
DOWN_S = 1.0
"""After a failure claims fail at once for this long, without a call."""

log = logbook.Logger("claims")


@attrs.define(kw_only=True)
class _Waiting:
    """The copies that wait for one claim."""

    done: trio.Event = attrs.field(factory=trio.Event)
    result: ClaimResult = attrs.field(factory=BindingUnknown)


@attrs.define(kw_only=True)
class Claims:
    """Owns the claims of this VM; one transaction is on its way at a time."""

    _platform: Platform
    _table: KeyTable
    _timers: TimerService
    _settings: ServiceSettings
    _queue: ClaimQueue = attrs.field(factory=ClaimQueue)
    _bindings: BindingCache = attrs.field(factory=BindingCache)
    _waiting: dict[str, _Waiting] = attrs.field(factory=dict)
    _more: trio.Event = attrs.field(factory=trio.Event)
    _lease: Lease | None = None
    _lease_taken_at: float = 0.0
    _down_until: float = 0.0

    @property
    def key_home(self) -> KeyHome:
        """What callers need to mint keys whose home is this VM."""
        return self._table.key_home(self._timers.now)

    async def bind(self, scope: str) -> ClaimResult:
        """Give the home of a plain key, making it ours if it has none."""
        known = self._bindings.get(scope)
        if known is not None:
            return Bound(home=known)
        if self._timers.now < self._down_until:
            return BindingUnknown()
        waiting = self._waiting.get(scope)
        if waiting is None:
            proposed = self.key_home.mint(random=scope)
            if not self._queue.add(Claim(scope=scope, proposed=proposed)):
                return BindingUnknown()
            waiting = self._waiting.setdefault(scope, _Waiting())
            self._more.set()
        await waiting.done.wait()
        return waiting.result

    async def run(self) -> None:
        """Carry claims to the platform until cancelled."""
        while True:
            await self._more.wait()
            self._more = trio.Event()
            while len(self._queue):
                await self._commit(self._queue.take_group())

    async def _commit(self, group: tuple[Claim, ...]) -> None:
        homes: dict[str, HomedKey] = {}
        try:
            with trio.move_on_after(self._settings.claim_timeout_s):
                homes = await self._claim(group)
        except PlatformError as error:
            CLAIMS_FAIL.log(log, claims=len(group), error=str(error))
        if not homes:
            self._down_until = self._timers.now + DOWN_S
        for claim in group:
            self._tell(claim, homes.get(claim.scope))

    async def _claim(self, group: tuple[Claim, ...]) -> dict[str, HomedKey]:
        """Claim, and once more where the answer was lost.

        A claim that was applied although its answer was lost is met again by
        the second call, which then reads our own proposal. An even later
        arrival does no harm: it creates only what is absent, and names as home
        the VM that admits each key once.
        """
        lease = await self._current_lease()
        keys = [
            NewKey(
                key=CLAIMS_PREFIX + claim.scope, value=str(claim.proposed).encode(), lease=lease.id
            )
            for claim in group
        ]
        try:
            result = await self._platform.claim(keys)
        except PlatformAnswerLost:
            result = await self._platform.claim(keys)
        except LeaseLapsed:
            self._lease = None
            raise
        homes: dict[str, HomedKey] = {}
        for claim, claimed in zip(group, result.keys, strict=True):
            found = claimed.holder
            home = (
                claim.proposed
                if found is None
                else parse_homed_key(found.value.decode("utf-8", "replace"))
            )
            if home is not None:
                homes[claim.scope] = home
        return homes

    async def _current_lease(self) -> Lease:
        """Give the shared lease, a new one every ``BUCKET_S``.

        The lease must outlive the key of its last claim, or the key could be
        claimed and run again by another VM while our copy still may run.
        """
        now = self._timers.now
        if self._lease is not None and now - self._lease_taken_at < BUCKET_S:
            return self._lease
        ttl_s = BUCKET_S + self._settings.key_lifetime_s + LEASE_MARGIN_S
        self._lease = await self._platform.grant_lease(ttl_s)
        self._lease_taken_at = now
        return self._lease

    def _tell(self, claim: Claim, home: HomedKey | None) -> None:
        waiting = self._waiting.pop(claim.scope)
        if home is not None:
            self._bindings.record(claim.scope, home)
            waiting.result = Bound(home=home)
        waiting.done.set()
