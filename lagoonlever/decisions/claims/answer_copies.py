"""Copies of settled answers at other VMs, so that a repeat outlives its home.

A copy is a fact that never changes: a lost one costs the caller an "unknown",
and none can be wrong. Where a key's copies are is worked out from the members
alone; VMs whose views differ a little still look in mostly the same places.
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

COPIES = 2
MAX_COPIED_BYTES = 8 * 1024
"""Answers larger than this are kept by their home alone."""
COPIES_BYTES = 8 * 1024 * 1024


def choose_copy_holders(home: Incarnation, view: MemberView) -> tuple[Member, ...]:
    """Give the members that keep copies for a home, by rendezvous hashing.

    Other data centres than the home's come first as far as the home is known,
    so that the copies outlive the loss of a data centre.
    """
    member = view.find_by_name(home.name)
    data_center = member.data_center if member else None
    others = [other for other in view.reachable if other.name != home.name]
    ordered = sorted(others, key=lambda other: _weight(home, other), reverse=True)
    apart = [other for other in ordered if other.data_center != data_center]
    return tuple((apart if len(apart) >= COPIES else ordered)[:COPIES])


def _weight(home: Incarnation, member: Member) -> int:
    return xxhash.xxh3_64_intdigest(f"{home.name}|{member.name}".encode())


@dataclass(frozen=True, kw_only=True)
class CopiedAnswer:
    """The answer of this key."""

    answer: StoredAnswer


@dataclass(frozen=True, kw_only=True)
class MismatchedCopy:
    """The key was used for another request."""


@dataclass(frozen=True, kw_only=True)
class NoCopy:
    """There is no copy here, which says nothing about what ran."""


CopyLookup = CopiedAnswer | MismatchedCopy | NoCopy


@attrs.frozen(kw_only=True)
class _Copy:
    fingerprint: bytes
    answer: StoredAnswer


@attrs.define(kw_only=True)
class AnswerCopies:
    """The copies that one VM keeps for others; the oldest go first when memory is used up."""

    _limit_bytes: int = COPIES_BYTES
    _copies: OrderedDict[HomedKey, _Copy] = attrs.field(factory=OrderedDict)
    _used_bytes: int = 0

    @property
    def used_bytes(self) -> int:
        """The memory that the copies take, about."""
        return self._used_bytes

    def store(self, key: HomedKey, *, fingerprint: bytes, answer: StoredAnswer) -> None:
        """Keep a copy; the first one of a key stands."""
        if key in self._copies:
            return
        self._copies[key] = _Copy(fingerprint=fingerprint, answer=answer)
        self._used_bytes += RECORD_BYTES + answer.size_bytes
        while self._used_bytes > self._limit_bytes:
            _, oldest = self._copies.popitem(last=False)
            self._used_bytes -= RECORD_BYTES + oldest.answer.size_bytes

    def find(self, key: HomedKey, *, fingerprint: bytes) -> CopyLookup:
        """Look for a key's answer."""
        copy = self._copies.get(key)
        if copy is None:
            return NoCopy()
        if copy.fingerprint != fingerprint:
            return MismatchedCopy()
        return CopiedAnswer(answer=copy.answer)
