"""The answer to "which entry VM should I use": a short list, spread by load and data centre.

The list is drawn at random for each caller, so that callers do not all move to the same VM, and
its lifetime varies, so that they do not all ask again at the same moment.
"""

from __future__ import annotations

from random import Random

import attrs

from lagoonlever.config.options import option
from lagoonlever.decisions.fleet.data_centers import spread_over_data_centers
from lagoonlever.decisions.membership.membership import Member, MemberState, MemberView
from lagoonlever.http.messages import Address

MIN_SPARE_CAPACITY = 0.05
"""The spare capacity (a share of 1) that a member is drawn by if it reports less. Reported loads
lag behind, so a member that reports itself full may have capacity again and stays in the draw."""
JITTER = 0.2
"""The share of the lifetime by which answers differ, so that callers do not ask in step."""


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
        """How long callers may still use an address of a VM after it began to leave.

        Other VMs may hand out the address for ``news_s``, and callers keep it for at most the
        lifetime with its jitter.
        """
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

    Members are drawn by spare capacity and not ranked by it: reported loads lag behind, so a
    ranking would send every caller to the same VM at once.
    """
    chosen = spread_over_data_centers(_draw(_candidates(view), random))[: settings.count]
    jitter_s = settings.lifetime_s * JITTER
    return EntryAddresses(
        addresses=tuple(member.http for member in chosen),
        lifetime_s=settings.lifetime_s + random.uniform(-jitter_s, jitter_s),
    )


def _candidates(view: MemberView) -> list[Member]:
    """Return the alive members, or the suspected ones if none is alive."""
    alive = list(view.alive)
    if alive:
        return alive
    return [member for member in view.members if member.state is MemberState.SUSPECT]


def _draw(members: list[Member], random: Random) -> list[Member]:
    """Order members at random, weighted by spare capacity, without replacement."""
    keyed = [
        (random.expovariate(max(MIN_SPARE_CAPACITY, 1.0 - m.load)), m.name, m) for m in members
    ]
    return [member for _, _, member in sorted(keyed, key=lambda entry: entry[:2])]
