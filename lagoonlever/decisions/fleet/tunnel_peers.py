"""Choice of the VMs by way of which a VM reaches targets that it can't reach itself.

Half of a data centre or more may lose their paths in one moment, and then a few VMs carry the
connections of all. Chosen by hash or by nearness, one of them would carry most of these: so they
are drawn at random, in proportion to the capacity of their links.

Where one VM is left that has paths, it carries the connections of all and may be late by that
alone. If it were passed over for that, nobody would be left to ask.
"""

from __future__ import annotations

import random
from collections.abc import Iterable

import attrs

from lagoonlever.decisions.fleet.peer_table import PeerState

AVOIDED_S = 1.0
"""How long a VM is passed over that did not answer or could not help."""
USUAL_LINK_MBPS = 10.0
"""Assumed capacity of a link that reports none."""


def usable_peers(present: Iterable[PeerState]) -> tuple[PeerState, ...]:
    """Return the VMs that may help: they stay, know the targets and say that they reach some."""
    return tuple(
        peer for peer in present if peer.takes_callers and not peer.leaving and not peer.cut_off
    )


@attrs.define(kw_only=True)
class TunnelPeers:
    """Draws VMs for tunnels, and avoids those that failed; times in monotonic seconds."""

    _rng: random.Random
    _avoided_until: dict[str, float] = attrs.field(factory=dict)

    def draw(self, peers: Iterable[PeerState], now: float, *, count: int) -> tuple[PeerState, ...]:
        """Return up to ``count`` VMs, in the order in which they are to be tried.

        Where all have failed of late they are those that failed first: one that was only late may
        be the only one that has a path.
        """
        usable = tuple(peers)
        able = [p for p in usable if self._avoided_until.get(p.life.name, 0.0) <= now]
        if not able:
            return tuple(sorted(usable, key=self._order_of_failure)[:count])
        keyed = [
            (self._rng.expovariate(peer.link_mbps or USUAL_LINK_MBPS), peer.life.name, peer)
            for peer in able
        ]
        return tuple(peer for _, _, peer in sorted(keyed, key=lambda entry: entry[:2])[:count])

    def record_failure(self, name: str, now: float) -> None:
        """Record that a VM gave no tunnel, through no fault of the target."""
        self._avoided_until[name] = now + AVOIDED_S

    def expire(self, now: float) -> None:
        """Forget failures that are over."""
        self._avoided_until = {n: at for n, at in self._avoided_until.items() if at > now}

    def _order_of_failure(self, peer: PeerState) -> tuple[float, str]:
        return self._avoided_until.get(peer.life.name, 0.0), peer.life.name
