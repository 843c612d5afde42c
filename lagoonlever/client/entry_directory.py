"""Which entry VMs a caller uses: those that the system told it last, else those it began with."""

from __future__ import annotations

import random
from collections.abc import Iterable

import attrs
import trio

from lagoonlever.client.exceptions import NoAnswer
from lagoonlever.client.history import record_told_addresses
from lagoonlever.entry.fleet.addresses import EntryAnswer
from lagoonlever.exceptions import PeerError
from lagoonlever.history.recorder import Recorder
from lagoonlever.http.client import fetch
from lagoonlever.http.json_client import fetch_json
from lagoonlever.http.messages import Address

ENTRY_PATH = "/v1/entry"
DISCOVER_STEP = "find an entry VM"
DISCOVER_TIMEOUT_S = 1.0


@attrs.define(kw_only=True)
class EntryDirectory:
    """The addresses of one caller; times are seconds of the monotonic clock."""

    _configured: tuple[Address, ...]
    _rng: random.Random
    _caller: str
    _recorder: Recorder | None = None
    _known: list[Address] = attrs.field(factory=list, init=False)
    _known_until: float = attrs.field(default=0.0, init=False)
    _lost: Address | None = attrs.field(default=None, init=False)

    @property
    def known_until(self) -> float:
        """Until when the last answer may be used."""
        return self._known_until

    async def discover(self) -> EntryAnswer:
        """Ask any address which entry VMs to use now.

        Raises the last ``PeerError``, or ``NoAnswer`` where there is no address to ask.
        """
        error: PeerError | None = None
        for address in self._addresses_to_ask():
            try:
                answer = await fetch_json(
                    address,
                    path=ENTRY_PATH,
                    answer=EntryAnswer,
                    step=DISCOVER_STEP,
                    timeout_s=DISCOVER_TIMEOUT_S,
                )
            except PeerError as failed:
                error = failed
                continue
            self.use(
                map(Address.parse, answer.addresses),
                until=trio.current_time() + answer.lifetime_s,
            )
            if self._recorder is not None:
                record_told_addresses(self._recorder, caller=self._caller, answer=answer)
            return answer
        if error is None:
            raise NoAnswer("no entry VM answered", outcome="not-run", reason="no-entry")
        raise error

    async def next_address(self) -> Address:
        """Give the address for the next try, another than the one lost last if there is one."""
        if not self._known or trio.current_time() > self._known_until:
            try:
                await self.discover()
            except (PeerError, NoAnswer):
                self._known = []
        candidates = self._known or list(self._configured)
        others = [address for address in candidates if address != self._lost]
        return self._rng.choice(others or candidates)

    def use(self, addresses: Iterable[Address], *, until: float | None = None) -> None:
        """Use these addresses until a time, or for as long as the last answer was to last."""
        self._known = list(addresses)
        if until is not None:
            self._known_until = until

    def lose(self, address: Address) -> None:
        """Note that a VM was not reached or was lost: others are tried first."""
        self._lost = address
        self.forget(address)

    def forget(self, address: Address) -> None:
        """Drop an address that the system told."""
        self._known = [known for known in self._known if known != address]

    def _addresses_to_ask(self) -> list[Address]:
        shuffled = list(self._configured)
        self._rng.shuffle(shuffled)
        return self._known + [address for address in shuffled if address not in self._known]


async def check_alive(address: Address, *, step: str) -> None:
    """Raise a ``PeerError`` unless a VM answers at once; any answer shows that it lives."""
    await fetch(address, path=ENTRY_PATH, step=step, timeout_s=DISCOVER_TIMEOUT_S)
