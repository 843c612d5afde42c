"""Replicas of settled answers on other VMs, for retries after a key's home has crashed.

The home of a key sends its settled answer to other VMs. When a caller retries
and the home is gone, another VM can still return the answer. A settled answer
never changes, so a copy cannot be out of date; if all copies are lost, the
caller gets the outcome "unknown". The holders of a home's copies are computed
from the membership view alone, without coordination; VMs whose views differ
slightly mostly compute the same holders.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

import attrs
import xxhash

from lagoonlever.decisions.claims.key_table import RECORD_BYTES, StoredAnswer
from lagoonlever.decisions.claims.keys import HomedKey
from lagoonlever.decisions.membership.membership import Member, MemberView
from lagoonlever.identity import Incarnation

COPIES_PER_ANSWER = 2
MAX_COPIED_BYTES = 8 * 1024
"""Larger answers are not copied: only their home stores them."""
MAX_COPIES_BYTES = 8 * 1024 * 1024
"""The memory for the copies that one VM holds; the oldest copies are evicted at this limit."""


def choose_copy_holders(home: Incarnation, view: MemberView) -> tuple[Member, ...]:
    """Return the members that hold the copies for a home, chosen by rendezvous hashing.

    If other data centres have at least ``COPIES_PER_ANSWER`` reachable members,
    only those are chosen, so that the copies survive the loss of the home's data
    centre. If the home is not in the view, its data centre is unknown and all
    members count as remote.
    """
    member = view.find_by_name(home.name)
    data_center = member.data_center if member else None
    others = [other for other in view.reachable if other.name != home.name]
    ordered = sorted(others, key=lambda other: _weight(home, other), reverse=True)
    remote = [other for other in ordered if other.data_center != data_center]
    return tuple((remote if len(remote) >= COPIES_PER_ANSWER else ordered)[:COPIES_PER_ANSWER])


def _weight(home: Incarnation, member: Member) -> int:
    """Return the rendezvous weight of a member as a copy holder for a home."""
    return xxhash.xxh3_64_intdigest(f"{home.name}|{member.name}".encode())


@dataclass(frozen=True, kw_only=True)
class CopiedAnswer:
    """A copy of the key's answer is held here."""

    answer: StoredAnswer


@dataclass(frozen=True, kw_only=True)
class MismatchedCopy:
    """The key was used for a different request."""


@dataclass(frozen=True, kw_only=True)
class NoCopy:
    """No copy is held here; the request may have run all the same."""


CopyLookup = CopiedAnswer | MismatchedCopy | NoCopy


@attrs.frozen(kw_only=True)
class _Copy:
    """A settled answer with the fingerprint of its request."""

    fingerprint: bytes
    answer: StoredAnswer


@attrs.define(kw_only=True)
class AnswerCopies:
    """The copies that one VM holds for other homes; at its memory limit, evicts the oldest."""

    _limit_bytes: int = MAX_COPIES_BYTES
    _copies: OrderedDict[HomedKey, _Copy] = attrs.field(factory=OrderedDict)
    _used_bytes: int = 0

    @property
    def used_bytes(self) -> int:
        """The approximate memory that the copies take."""
        return self._used_bytes

    def store(self, key: HomedKey, *, fingerprint: bytes, answer: StoredAnswer) -> None:
        """Store a copy, unless the key already has one, and evict the oldest over the limit."""
        if key in self._copies:
            return
        self._copies[key] = _Copy(fingerprint=fingerprint, answer=answer)
        self._used_bytes += RECORD_BYTES + answer.size_bytes
        while self._used_bytes > self._limit_bytes:
            _, oldest = self._copies.popitem(last=False)
            self._used_bytes -= RECORD_BYTES + oldest.answer.size_bytes

    def find(self, key: HomedKey, *, fingerprint: bytes) -> CopyLookup:
        """Return the copy of a key's answer if its request has this fingerprint."""
        copy = self._copies.get(key)
        if copy is None:
            return NoCopy()
        if copy.fingerprint != fingerprint:
            return MismatchedCopy()
        return CopiedAnswer(answer=copy.answer)
