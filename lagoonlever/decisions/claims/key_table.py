"""The records of a home: what has become of each key that this incarnation may dispatch.

Every key is admitted to run at most once. A key that was told "not run" stays
recorded as such until it expires, so that an older copy of the request, still
on its way through another VM, cannot run after the caller was told.
"""

from __future__ import annotations

import enum
import heapq
from dataclasses import dataclass

import attrs

from lagoonlever.decisions.claims.keys import KEY_LIFETIME_S, HomedKey, KeyHome
from lagoonlever.http.messages import Headers
from lagoonlever.identity import Incarnation
from lagoonlever.outcomes import Outcome

RECORD_BYTES = 900
"""What a record takes beside its answer: 884 bytes, traced over 20,000 settled records."""


@attrs.frozen(kw_only=True)
class StoredAnswer:
    """An outcome with the service's own answer, as it is given and repeated."""

    outcome: Outcome
    status: int
    headers: Headers = attrs.field(factory=Headers)
    body: bytes = b""

    @property
    def size_bytes(self) -> int:
        """The memory that keeping the answer takes, about."""
        return len(self.body) + sum(len(name) + len(value) for name, value in self.headers.pairs)


class KeyState(enum.Enum):
    """How far the request of a key has come."""

    ADMITTED = "admitted"
    WRITTEN = "written"
    SETTLED = "settled"


@attrs.define(kw_only=True)
class KeyRecord:
    """One key at its home; ``answer`` is there once it is settled."""

    key: HomedKey
    fingerprint: bytes
    state: KeyState = KeyState.ADMITTED
    answer: StoredAnswer | None = None


@dataclass(frozen=True, kw_only=True)
class Run:
    """The caller of ``admit`` runs the request; nobody else ever is told so."""

    record: KeyRecord


@dataclass(frozen=True, kw_only=True)
class InProgress:
    """Another copy of the request is being run; wait for its answer."""

    record: KeyRecord


@dataclass(frozen=True, kw_only=True)
class RepeatAnswer:
    """The request is settled; give its answer again."""

    answer: StoredAnswer


@dataclass(frozen=True, kw_only=True)
class FingerprintMismatch:
    """The key was used for another request."""


@dataclass(frozen=True, kw_only=True)
class WrongHome:
    """The key's home is another incarnation."""


@dataclass(frozen=True, kw_only=True)
class KeyExpired:
    """The key is past its expiry, and what became of it is no longer kept."""


@dataclass(frozen=True, kw_only=True)
class ExpiryTooFar:
    """The key's expiry is further away than keys may live."""


@dataclass(frozen=True, kw_only=True)
class TableFull:
    """No memory for a new key; this key is now void and will never run."""


Admission = (
    Run
    | InProgress
    | RepeatAnswer
    | FingerprintMismatch
    | WrongHome
    | KeyExpired
    | ExpiryTooFar
    | TableFull
)


@attrs.define(kw_only=True)
class KeyTable:
    """The keys of one incarnation, bounded in memory; a live key is never evicted."""

    _own: Incarnation
    _born_at: float
    _limit_bytes: int
    _lifetime_s: int = KEY_LIFETIME_S
    _records: dict[HomedKey, KeyRecord] = attrs.field(factory=dict)
    _expiries: list[tuple[int, str, HomedKey]] = attrs.field(factory=list)
    _used_bytes: int = 0
    _void_through_life_s: int = -1

    @property
    def used_bytes(self) -> int:
        """The memory that the records take, about."""
        return self._used_bytes

    @property
    def unsettled_keys(self) -> int:
        """The number of keys that are admitted and not yet settled."""
        records = self._records.values()
        return sum(record.state is not KeyState.SETTLED for record in records)

    def age_s(self, now: float) -> float:
        """Give the seconds that this incarnation has lived."""
        return now - self._born_at

    def key_home(self, now: float) -> KeyHome:
        """Give what callers need to mint keys of this home."""
        return KeyHome(home=self._own, age_s=int(self.age_s(now)), lifetime_s=self._lifetime_s)

    def has_expired(self, key: HomedKey, now: float) -> bool:
        """Tell whether a key must not be run any more."""
        return self.age_s(now) >= key.expires_at_age_s

    def admit(self, key: HomedKey, *, fingerprint: bytes, now: float) -> Admission:
        """Decide about one copy of a request; ``Run`` is given at most once for a key."""
        if key.home != self._own:
            return WrongHome()
        self._forget_expired(now)
        record = self._records.get(key)
        if record is not None:
            return self._known(record, fingerprint)
        if self.has_expired(key, now):
            return KeyExpired()
        if key.expires_at_age_s > self.age_s(now) + self._lifetime_s:
            return ExpiryTooFar()
        if self._void(key):
            return TableFull()
        record = KeyRecord(key=key, fingerprint=fingerprint)
        self._records[key] = record
        heapq.heappush(self._expiries, (key.expires_at_age_s, key.random, key))
        self._used_bytes += RECORD_BYTES
        return Run(record=record)

    def mark_written(self, record: KeyRecord) -> None:
        """Note, right before the write, that bytes of the request may leave from now on."""
        if record.state is not KeyState.ADMITTED:
            raise ValueError(f"{record.key} is {record.state.value}; it is written only once")
        record.state = KeyState.WRITTEN

    def settle(self, record: KeyRecord, answer: StoredAnswer) -> None:
        """Record the final answer; the first one stands."""
        if record.state is KeyState.SETTLED:
            raise ValueError(f"{record.key} is settled already")
        record.state = KeyState.SETTLED
        record.answer = answer
        self._used_bytes += answer.size_bytes

    def _known(self, record: KeyRecord, fingerprint: bytes) -> Admission:
        if record.fingerprint != fingerprint:
            return FingerprintMismatch()
        if record.answer is None:
            return InProgress(record=record)
        return RepeatAnswer(answer=record.answer)

    def _void(self, key: HomedKey) -> bool:
        """Refuse a key for good when memory is short.

        There is no memory for a record of the refusal either, so one mark voids
        every unrecorded key that expires no later. Without it a delayed copy
        would be admitted once memory is free, after its caller was told "not
        run". Keys minted later expire later, and are taken again.
        """
        if self._used_bytes + RECORD_BYTES > self._limit_bytes:
            self._void_through_life_s = max(self._void_through_life_s, key.expires_at_age_s)
        return key.expires_at_age_s <= self._void_through_life_s

    def _forget_expired(self, now: float) -> None:
        """Drop settled records past their expiry; one still being run stays until settled."""
        kept: list[tuple[int, str, HomedKey]] = []
        while self._expiries and self._expiries[0][0] <= self.age_s(now):
            entry = heapq.heappop(self._expiries)
            record = self._records[entry[2]]
            if record.answer is None:
                kept.append(entry)
                continue
            del self._records[record.key]
            self._used_bytes -= RECORD_BYTES + record.answer.size_bytes
        for entry in kept:
            heapq.heappush(self._expiries, entry)
