"""Group commit of claims: one transaction of the store carries all claims queued at a VM.

A claim binds a caller's plain key to a home. The store creates it only if the
key has no claim yet, so if two VMs claim one key at the same time, exactly one
of them becomes its home. A binding never changes; the claim hangs on a lease
that outlives the key. One transaction is in flight at a time:
the slower the store, the larger the groups and the fewer the calls.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

import attrs

from lagoonlever.decisions.claims.keys import HomedKey

MAX_GROUP_KEYS = 64
"""The most keys in one transaction; common stores allow 128 operations per transaction."""


@attrs.frozen(kw_only=True)
class Claim:
    """A request to bind a plain key to a home.

    ``scope`` identifies the plain key among those of all callers and services
    (see ``claim_scope``); ``proposed`` is the homed key that this VM proposes.
    """

    scope: str
    proposed: HomedKey


@dataclass(frozen=True, kw_only=True)
class Bound:
    """The store has bound the plain key to ``home``, this VM's proposal or another VM's."""

    home: HomedKey


@dataclass(frozen=True, kw_only=True)
class BindingUnknown:
    """It is unknown whether the claim was applied, so the request must not run."""


ClaimResult = Bound | BindingUnknown


@attrs.define(kw_only=True)
class ClaimQueue:
    """The claims that wait for a transaction, in order of arrival; one claim per scope."""

    _limit: int = 4096
    _waiting: deque[Claim] = attrs.field(factory=deque)
    _scopes: set[str] = attrs.field(factory=set)

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, claim: Claim) -> bool:
        """Queue a claim unless its scope is queued already; return False if the queue is full."""
        if claim.scope in self._scopes:
            return True
        if len(self._waiting) >= self._limit:
            return False
        self._scopes.add(claim.scope)
        self._waiting.append(claim)
        return True

    def take_group(self) -> tuple[Claim, ...]:
        """Remove and return the claims of the next transaction, at most ``MAX_GROUP_KEYS``."""
        group = tuple(
            self._waiting.popleft() for _ in range(min(MAX_GROUP_KEYS, len(self._waiting)))
        )
        self._scopes.difference_update(claim.scope for claim in group)
        return group


@attrs.define(kw_only=True)
class BindingCache:
    """A bounded cache of the bindings that this VM has read; bindings never change."""

    _limit: int = 4096
    _homes: dict[str, HomedKey] = attrs.field(factory=dict)

    def get(self, scope: str) -> HomedKey | None:
        """Return the homed key that a scope is bound to, or None if it is not cached."""
        return self._homes.get(scope)

    def record(self, scope: str, home: HomedKey) -> None:
        """Cache a binding; at the limit, evict the oldest, which then must be read again."""
        if len(self._homes) >= self._limit:
            self._homes.pop(next(iter(self._homes)))
        self._homes[scope] = home
