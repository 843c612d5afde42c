"""Table of the idempotency keys that one incarnation of a VM may dispatch.

A request with a key must run at most once, although the caller may send copies
of it through several VMs. Each key has one home, a single incarnation of a VM,
and the home's table admits only the first copy. A key whose caller was told
"not run" stays in the table until it expires, so that a delayed copy of the
request that arrives through another VM cannot run after that.
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
"""The memory that a record takes without its answer: 884 bytes, traced over 20,000 records."""


@attrs.frozen(kw_only=True)
class StoredAnswer:
    """An outcome with the service's response, as returned to the caller and to its retries."""

    outcome: Outcome
    status: int
    headers: Headers = attrs.field(factory=Headers)
    body: bytes = b""

    @property
    def size_bytes(self) -> int:
        """The approximate memory that the answer takes: the body and the header fields."""
        return len(self.body) + sum(len(name) + len(value) for name, value in self.headers.pairs)


class KeyState(enum.Enum):
    """Progress of a key's request: admitted, being written to its target, or settled."""

    ADMITTED = "admitted"
    WRITTEN = "written"
    SETTLED = "settled"


@attrs.define(kw_only=True)
class KeyRecord:
    """A key's entry in the table of its home.

    ``fingerprint`` is the digest of the request that first used the key;
    ``answer`` is None until the request is settled.
    """

    key: HomedKey
    fingerprint: bytes
    state: KeyState = KeyState.ADMITTED
    answer: StoredAnswer | None = None


@dataclass(frozen=True, kw_only=True)
class Run:
    """The caller of ``admit`` must run the request; returned at most once per key."""

    record: KeyRecord


@dataclass(frozen=True, kw_only=True)
class InProgress:
    """Another copy of the request is running; wait for its answer."""

    record: KeyRecord


@dataclass(frozen=True, kw_only=True)
class RepeatAnswer:
    """The request is settled; return its stored answer."""

    answer: StoredAnswer


@dataclass(frozen=True, kw_only=True)
class FingerprintMismatch:
    """The key was already used for a different request."""


@dataclass(frozen=True, kw_only=True)
class WrongHome:
    """The key's home is another incarnation, which may be an earlier one of this VM."""


@dataclass(frozen=True, kw_only=True)
class KeyExpired:
    """The key has expired, and the table has no record of it any more."""


@dataclass(frozen=True, kw_only=True)
class ExpiryTooFar:
    """The key's expiry is further in the future than the lifetime of keys allows."""


@dataclass(frozen=True, kw_only=True)
class TableFull:
    """The key is refused for lack of memory and will never be admitted; a later key may be."""


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
    """The keys of one incarnation, within a memory limit.

    A full table refuses new keys. It never evicts a key that has not expired,
    as a copy of its request could then run a second time.
    """

    _own: Incarnation
    _started_at: float
    _limit_bytes: int
    _lifetime_s: int = KEY_LIFETIME_S
    _records: dict[HomedKey, KeyRecord] = attrs.field(factory=dict)
    _expiries: list[tuple[int, str, HomedKey]] = attrs.field(factory=list)
    """Heap of (expiry as an age in seconds, random part, key)."""
    _used_bytes: int = 0
    _void_through_age_s: int = -1
    """Keys without a record that expire at this age or earlier are refused for good."""

    @property
    def used_bytes(self) -> int:
        """The approximate memory that the records and their answers take."""
        return self._used_bytes

    @property
    def unsettled_keys(self) -> int:
        """The number of keys that are admitted and not yet settled."""
        records = self._records.values()
        return sum(record.state is not KeyState.SETTLED for record in records)

    def age_s(self, now: float) -> float:
        """Return the age of this incarnation in seconds at the monotonic time ``now``."""
        return now - self._started_at

    def key_home(self, now: float) -> KeyHome:
        """Return the data from which callers mint keys whose home is this incarnation."""
        return KeyHome(home=self._own, age_s=int(self.age_s(now)), lifetime_s=self._lifetime_s)

    def has_expired(self, key: HomedKey, now: float) -> bool:
        """Check whether a key has expired, so that its request must not be run any more."""
        return self.age_s(now) >= key.expires_at_age_s

    def admit(self, key: HomedKey, *, fingerprint: bytes, now: float) -> Admission:
        """Decide what to do with one copy of a request.

        Add a record for a new key and return ``Run``; this happens at most once
        per key. All other results tell the caller not to run the request.
        """
        if key.home != self._own:
            return WrongHome()
        self._remove_expired(now)
        record = self._records.get(key)
        if record is not None:
            return self._admit_recorded(record, fingerprint)
        if self.has_expired(key, now):
            return KeyExpired()
        if key.expires_at_age_s > self.age_s(now) + self._lifetime_s:
            return ExpiryTooFar()
        if self._refuse_for_memory(key):
            return TableFull()
        record = KeyRecord(key=key, fingerprint=fingerprint)
        self._records[key] = record
        heapq.heappush(self._expiries, (key.expires_at_age_s, key.random, key))
        self._used_bytes += RECORD_BYTES
        return Run(record=record)

    def mark_written(self, record: KeyRecord) -> None:
        """Record that the request is about to be written; call this right before the write.

        From here on the target may have received it. Raise ``ValueError`` if the
        request was already written or settled, as it must not be written twice.
        """
        if record.state is not KeyState.ADMITTED:
            raise ValueError(
                f"{record.key} is already {record.state.value}; a request is written only once"
            )
        record.state = KeyState.WRITTEN

    def settle(self, record: KeyRecord, answer: StoredAnswer) -> None:
        """Record the final answer; raise ``ValueError`` if the key already has one."""
        if record.state is KeyState.SETTLED:
            raise ValueError(f"{record.key} is already settled; its first answer is kept")
        record.state = KeyState.SETTLED
        record.answer = answer
        self._used_bytes += answer.size_bytes

    def _admit_recorded(self, record: KeyRecord, fingerprint: bytes) -> Admission:
        if record.fingerprint != fingerprint:
            return FingerprintMismatch()
        if record.answer is None:
            return InProgress(record=record)
        return RepeatAnswer(answer=record.answer)

    def _refuse_for_memory(self, key: HomedKey) -> bool:
        """Check whether a key without a record must be refused for lack of memory, for good.

        A refused key's caller is told "not run", and there is no memory to record
        that. Instead one limit is raised to the key's expiry, and every key without
        a record that expires no later is refused from then on. Otherwise a delayed
        copy would be admitted once memory is free again. Keys that are minted later
        expire later, so they are admitted again.
        """
        if self._used_bytes + RECORD_BYTES > self._limit_bytes:
            self._void_through_age_s = max(self._void_through_age_s, key.expires_at_age_s)
        return key.expires_at_age_s <= self._void_through_age_s

    def _remove_expired(self, now: float) -> None:
        """Remove settled records that have expired; unsettled ones stay until they are settled."""
        unsettled: list[tuple[int, str, HomedKey]] = []
        while self._expiries and self._expiries[0][0] <= self.age_s(now):
            entry = heapq.heappop(self._expiries)
            record = self._records[entry[2]]
            if record.answer is None:
                unsettled.append(entry)
                continue
            del self._records[record.key]
            self._used_bytes -= RECORD_BYTES + record.answer.size_bytes
        for entry in unsettled:
            heapq.heappush(self._expiries, entry)
