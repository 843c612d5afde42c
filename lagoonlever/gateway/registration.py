"""Registers this VM in the store under a lease, where it has a role that others look for.

A VM that starts and can't reach its seeds looks into the register. It finds the hubs
and the readers there, and through them everyone; so only they are registered.
"""

from __future__ import annotations

import contextlib
import random

import attrs
import logbook
import trio

from lagoonlever.decisions.fleet.peer_table import PeerState
from lagoonlever.decisions.fleet.roles import Roles
from lagoonlever.exceptions import PlatformError
from lagoonlever.gateway import events
from lagoonlever.gateway.beliefs import Beliefs
from lagoonlever.gateway.register import REGISTER_PREFIX, Register, encode_entry, register_key
from lagoonlever.published import Published
from lagoonlever.store.port import Conflict, Lapsed, Lease, RecordStore
from lagoonlever.timers import TimerService

log = logbook.Logger(__name__)

LEASE_S = 10.0
"""Only tells who exists: that a VM died, its silence on the bus tells much sooner."""
RENEW_S = 3.0
"""Two renewals may fail before the lease lapses."""
RETRY_S = 0.7
LOOK_AFTER_S = 0.4
"""Seeds answer within a few milliseconds; a VM that knows nobody by then looks here."""
LOOK_AGAIN_S = 5.0


@attrs.define(kw_only=True, eq=False)
class Registration:
    """Owns this VM's entry in the register."""

    _store: RecordStore
    _register: Register
    _beliefs: Beliefs
    _roles: Published[Roles | None]
    _timers: TimerService
    _own: PeerState
    _rng: random.Random
    _lease: Lease | None = None
    _leaving: bool = False

    async def run(self) -> None:
        """Look for others at the start; register while this VM is looked for."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._look_for_others)
            await self._keep_registered()

    async def leave(self) -> None:
        """Take this VM out of the register."""
        self._leaving = True
        lease, self._lease = self._lease, None
        if lease is None:
            return
        try:
            await self._store.revoke(lease)
        except PlatformError:
            # The store's client has logged it; the lease lapses by itself.
            return

    async def _look_for_others(self) -> None:
        await trio.sleep(LOOK_AFTER_S)
        while True:
            if not self._beliefs.fellows.present(self._timers.now):
                # A failure is logged by the store's client; the register is looked at again.
                with contextlib.suppress(PlatformError):
                    self._register.read((await self._store.get_prefix(REGISTER_PREFIX)).entries)
            await trio.sleep(LOOK_AGAIN_S * self._rng.uniform(0.8, 1.2))

    async def _keep_registered(self) -> None:
        while not self._leaving:
            roles = self._roles.value
            if roles is None or not (roles.is_hub or roles.reads_store or self._lease):
                await self._roles.wait_change()
                continue
            try:
                if self._lease is None:
                    await self._enter()
                elif isinstance(await self._store.keep_alive(self._lease), Lapsed):
                    self._lease = None
                    continue
                await trio.sleep(RENEW_S * self._rng.uniform(0.9, 1.1))
            except PlatformError:
                # The store's client has logged it; the entry may have lapsed meanwhile.
                await trio.sleep(RETRY_S * self._rng.uniform(0.7, 1.3))

    async def _enter(self) -> None:
        """Write the entry under a new lease; tried again later where another write crosses it.

        An entry that stands there is of this VM, under a lease of before: its answer was lost,
        or the store has come back from an older copy.
        """
        lease = await self._store.grant_lease(LEASE_S)
        key, value = register_key(self._own.life), encode_entry(self._own)
        result = await self._store.replace(key, former=None, value=value, lease=lease.id)
        if isinstance(result, Conflict) and result.current is not None:
            result = await self._store.replace(
                key, former=result.current, value=value, lease=lease.id
            )
        if isinstance(result, Conflict):
            return
        self._lease = lease
        events.REGISTERED.log(log, lease=lease.id, ttl_s=lease.ttl_s)
