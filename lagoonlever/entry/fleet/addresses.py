"""Answers ``GET /v1/entry``: which entry VMs a caller should use now."""

from __future__ import annotations

import random
from collections.abc import Callable
from http import HTTPStatus

import attrs

from lagoonlever.decisions.claims.keys import KeyHome
from lagoonlever.decisions.fleet.addresses import AddressesSettings, choose_entry_addresses
from lagoonlever.decisions.membership.membership import MemberState, MemberView
from lagoonlever.http.exchange import Exchange
from lagoonlever.published import Published


@attrs.frozen(kw_only=True)
class KeyHomeAnswer:
    """What a caller needs to mint keys whose home is the answering VM."""

    home: str
    life_s: int
    lifetime_s: int


@attrs.frozen(kw_only=True)
class EntryAnswer:
    """The addresses to use, best first, for ``lifetime_s`` seconds; no key home while leaving."""

    addresses: tuple[str, ...]
    lifetime_s: float
    key_home: KeyHomeAnswer | None = None


@attrs.define(kw_only=True)
class EntryAddressesPart:
    """Knows the addresses by the member view."""

    _members: Published[MemberView]
    _settings: AddressesSettings
    _random: random.Random
    _key_home: Callable[[], KeyHome]

    def answer(self) -> EntryAnswer:
        """Give the answer for one caller."""
        view = self._members.value
        told = choose_entry_addresses(view, settings=self._settings, random=self._random)
        return EntryAnswer(
            addresses=tuple(str(address) for address in told.addresses),
            lifetime_s=told.lifetime_s,
            key_home=self._home(view),
        )

    def others(self) -> tuple[str, ...]:
        """Give addresses of other VMs, for callers of a VM that is leaving."""
        own = self._members.value.own_member
        own_address = str(own.http) if own else ""
        return tuple(address for address in self.answer().addresses if address != own_address)

    async def handle(self, exchange: Exchange) -> None:
        """Answer a caller."""
        await exchange.respond_json(status=HTTPStatus.OK, payload=attrs.asdict(self.answer()))

    def _home(self, view: MemberView) -> KeyHomeAnswer | None:
        own = view.own_member
        if own is None or own.state is MemberState.LEAVING:
            return None
        home = self._key_home()
        return KeyHomeAnswer(home=str(home.home), life_s=home.age_s, lifetime_s=home.lifetime_s)
