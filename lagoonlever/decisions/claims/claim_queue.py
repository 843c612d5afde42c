"""Group commit of claims: one transaction carries every claim that waits at a VM.

A claim binds a plain key to a home for good. It is created only if absent, so
that of two VMs that claim one key at once exactly one becomes its home. One
transaction is on its way at a time: the slower the platform, the larger the
groups and the fewer the calls.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

import attrs

from lagoonlever.decisions.claims.keys import HomedKey

MAX_GROUP_KEYS = 64
"""Keys in one transaction; usual stores allow 128 operations."""


@attrs.frozen(kw_only=True)
class Claim:
    """A plain key's scope and the home that this VM proposes for it."""

    scope: str
    proposed: HomedKey


@dataclass(frozen=True, kw_only=True)
class Bound:
    """The key is bound to this home, ours or another's, as the platform has it."""

    home: HomedKey


@dataclass(frozen=True, kw_only=True)
class BindingUnknown:
    """It is not known whether the claim was applied; nothing may run on it."""


ClaimResult = Bound | BindingUnknown


@attrs.define(kw_only=True)
class ClaimQueue:
    """The claims that wait for a transaction, in order; copies of one key share a claim."""

    _limit: int = 4096
    _waiting: deque[Claim] = attrs.field(factory=deque)
    _scopes: set[str] = attrs.field(factory=set)

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, claim: Claim) -> bool:
        """Queue a claim; False means that the queue is full."""
        if claim.scope in self._scopes:
            return True
        if len(self._waiting) >= self._limit:
            return False
        self._scopes.add(claim.scope)
        self._waiting.append(claim)
        return True

    def take_group(self) -> tuple[Claim, ...]:
        """Take the claims of the next transaction."""
        group = tuple(
            self._waiting.popleft() for _ in range(min(MAX_GROUP_KEYS, len(self._waiting)))
        )
        self._scopes.difference_update(claim.scope for claim in group)
        return group


@attrs.define(kw_only=True)
class BindingCache:
    """BindingCache that this VM has learnt, bounded; they never change, so a copy is never wrong."""

    _limit: int = 4096
    _homes: dict[str, HomedKey] = attrs.field(factory=dict)

    def get(self, scope: str) -> HomedKey | None:
        """Give the home of a plain key if it is known here."""
        return self._homes.get(scope)

    def record(self, scope: str, home: HomedKey) -> None:
        """Remember a binding; the oldest is forgotten first, at the price of a read."""
        if len(self._homes) >= self._limit:
            self._homes.pop(next(iter(self._homes)))
        self._homes[scope] = home
