"""The answer to "which entry VM should I use": a short list, spread by load and data centre."""

from __future__ import annotations

from random import Random

import attrs

from lagoonlever.config.options import option
from lagoonlever.decisions.fleet.data_centers import spread_over_data_centers
from lagoonlever.decisions.membership.membership import Member, MemberState, MemberView
from lagoonlever.http.messages import Address

LEAST_SPARE = 0.05
"""The weight of a member that reports itself full: loads lag, so none is left out."""
JITTER = 0.2
"""Share of the lifetime by which answers differ, so that callers do not ask in step."""


@attrs.define(kw_only=True)
class AddressesSettings:
    """Options of the answer that tells callers which VMs to use."""

    count: int = option(doc="Addresses in an answer.", default=3, at_least=1, at_most=16)
    lifetime_s: float = option(
        doc="Seconds for which a caller may keep the answer.",
        default=30.0,
        at_least=1.0,
        at_most=3600.0,
    )
    news_s: float = option(
        doc="Seconds for which other VMs may go on telling the address of one that leaves.",
        default=5.0,
        at_least=0.1,
        at_most=300.0,
    )

    @property
    def served_after_leaving_s(self) -> float:
        """How long callers may still come to a VM that leaves, with an address told in time."""
        return self.news_s + self.lifetime_s * (1 + JITTER)


@attrs.frozen(kw_only=True)
class EntryAddresses:
    """The addresses to use, best first, for ``lifetime_s`` seconds."""

    addresses: tuple[Address, ...]
    lifetime_s: float


def choose_entry_addresses(
    view: MemberView, *, settings: AddressesSettings, random: Random
) -> EntryAddresses:
    """Choose the addresses for one caller; a leaving or dead VM is never among them.

    Each answer is drawn by spare capacity and not ranked by it: loads lag, and a
    ranking would send every caller to the same VM at once.
    """
    chosen = spread_over_data_centers(_drawn(_candidates(view), random))[: settings.count]
    spread_s = settings.lifetime_s * JITTER
    return EntryAddresses(
        addresses=tuple(member.http for member in chosen),
        lifetime_s=settings.lifetime_s + random.uniform(-spread_s, spread_s),
    )


def _candidates(view: MemberView) -> list[Member]:
    alive = list(view.alive)
    if alive:
        return alive
    return [member for member in view.members if member.state is MemberState.SUSPECT]


def _drawn(members: list[Member], random: Random) -> list[Member]:
    """Order members at random, weighted by spare capacity, without replacement."""
    keyed = [(random.expovariate(max(LEAST_SPARE, 1.0 - m.load)), m.name, m) for m in members]
    return [member for _, _, member in sorted(keyed, key=lambda entry: entry[:2])]
