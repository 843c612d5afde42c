"""The messages of the membership protocol.

They are arrays on the wire and not maps: every VM sends some each second, and
field names would make up more than half of their bytes.
"""

from __future__ import annotations

import enum

import msgspec

from lagoonlever.http.messages import Address
from lagoonlever.identity import Incarnation
from lagoonlever.peers.messages import PEER


class Status(enum.IntEnum):
    """What is believed of a member; the greater one wins within one version."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


class Verdict(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """What is believed of a life that the receiver knows: a fraction of the bytes of its news.

    ``version`` is raised by the member alone, to answer a suspicion.
    """

    name: str
    nonce: int
    status: Status
    version: int
    leaving: bool


class MemberUpdate(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """All that one VM tells another of a member.

    ``load_age_s`` is how long ago the member reported its load, since clocks are
    not compared.
    """

    name: str
    started_ms: int
    nonce: int
    data_center: str
    http: str
    peers: str
    status: Status
    version: int
    leaving: bool
    load_percent: int
    load_age_s: int

    def __post_init__(self) -> None:
        """Refuse an address that cannot be read, so that no later step meets it."""
        Address.parse(self.http)
        Address.parse(self.peers)

    @property
    def incarnation(self) -> Incarnation:
        """The incarnation that the news is of."""
        return Incarnation(name=self.name, started_ms=self.started_ms, nonce=self.nonce)

    @property
    def verdict(self) -> Verdict:
        """The part of the news that changes in the course of a life."""
        return Verdict(
            name=self.name,
            nonce=self.nonce,
            status=self.status,
            version=self.version,
            leaving=self.leaving,
        )

    @property
    def http_address(self) -> Address:
        """The address for callers."""
        return Address.parse(self.http)

    @property
    def peer_address(self) -> Address:
        """The address for peers."""
        return Address.parse(self.peers)


@PEER.message("mp")
class Ping(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """Asks for a sign of life; ``digest`` sums up the sender's view."""

    sequence: int
    own: MemberUpdate
    digest: int
    news: tuple[MemberUpdate, ...] = ()
    verdicts: tuple[Verdict, ...] = ()


@PEER.message("ma")
class Ack(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """Answers a ping, or passes on that a helper's ping was answered."""

    sequence: int
    own: MemberUpdate
    digest: int
    news: tuple[MemberUpdate, ...] = ()
    verdicts: tuple[Verdict, ...] = ()


@PEER.message("mr")
class PingRequest(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """Asks a helper to ping a member that did not answer directly."""

    sequence: int
    own: MemberUpdate
    target: MemberUpdate


@PEER.message("mn")
class Nack(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """Tells that the helper got no answer either, but that the asker itself is reachable."""

    sequence: int


@PEER.message("mg")
class Gossip(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """Passes changes on at once: news of lives just heard of, verdicts on the others."""

    news: tuple[MemberUpdate, ...] = ()
    verdicts: tuple[Verdict, ...] = ()


@PEER.message("ms")
class SyncRequest(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """Asks for the members in which two views differ: one digest a bucket of names."""

    own: MemberUpdate
    buckets: tuple[int, ...]


@PEER.message("mt")
class SyncReply(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """Gives the members of the buckets that differ."""

    news: tuple[MemberUpdate, ...]


MembershipMessage = Ping | Ack | PingRequest | Nack | Gossip | SyncRequest | SyncReply
