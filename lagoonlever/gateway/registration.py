"""Registers this VM in the store under a lease, and keeps the lease alive."""

from __future__ import annotations

import random

import attrs
import logbook
import trio

from lagoonlever.decisions.fellows import FellowState
from lagoonlever.exceptions import PlatformError
from lagoonlever.gateway import events
from lagoonlever.gateway.register import REGISTER_PREFIX, Register, encode_entry, register_key
from lagoonlever.store.port import ABSENT, KeyValueStore, Lapsed, Lease

log = logbook.Logger(__name__)

LEASE_S = 10.0
"""Only tells who exists: that a VM died, its silence on the bus tells much sooner."""
RENEW_S = 3.0
"""Two renewals may fail before the lease lapses."""
RETRY_S = 0.7


@attrs.define(kw_only=True, eq=False)
class Registration:
    """Owns this VM's entry in the register."""

    _store: KeyValueStore
    _register: Register
    _own: FellowState
    _rng: random.Random
    _lease: Lease | None = None
    _leaving: bool = False

    async def run(self) -> None:
        """Register and renew until cancelled, or until this VM leaves."""
        while not self._leaving:
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

    async def _enter(self) -> None:
        """Write this VM's entry, and read the others' after it.

        In this order two VMs that start at once can't miss each other: the one that
        writes later reads the other. The register is not watched, as VMs tell each
        other of themselves, and each change of it would be a call of every VM.
        """
        lease = await self._store.grant_lease(LEASE_S)
        await self._store.compare_and_swap(
            register_key(self._own.life),
            expected_revision=ABSENT,
            value=encode_entry(self._own),
            lease=lease.id,
        )
        self._lease = lease
        events.REGISTERED.log(log, lease=lease.id, ttl_s=lease.ttl_s)
        self._register.read((await self._store.get_prefix(REGISTER_PREFIX)).entries)
