"""A caller of application services: mints keys, and repeats a call safely under its key."""

from __future__ import annotations

import random
from collections.abc import Iterator
from itertools import cycle

import attrs
import trio

from lagoonlever.client.caller import Caller, NoAnswer
from lagoonlever.decisions.claims.keys import KEY_HEADER, KeyHome
from lagoonlever.entry.callers.completions_api import DEADLINE_HEADER
from lagoonlever.entry.fleet.addresses import EntryAnswer
from lagoonlever.exceptions import ConnectFailed, PeerError
from lagoonlever.http.client import Response, fetch
from lagoonlever.http.messages import Address, Headers, whole_number
from lagoonlever.identity import Incarnation
from lagoonlever.outcomes import (
    OUTCOME_HEADER,
    REASON_HEADER,
    RETRY_AFTER_HEADER,
    OutcomeTag,
)

SAFE_METHODS = frozenset({"GET", "HEAD"})
KEY_BITS = 128
STEP = "call a service"
PAUSE_S = 0.2

FINAL = frozenset({OutcomeTag.DONE, OutcomeTag.FAILED})
BAD_REQUEST_STATUSES = range(400, 429)
"""Refusals that the same request would meet again."""


@attrs.frozen(kw_only=True)
class ServiceRequest:
    """One call; ``path`` begins with ``/services/``, and ``within_s`` bounds all tries."""

    method: str
    path: str
    body: bytes = b""
    content_type: str = "application/json"
    api_key: str | None = None
    key: str | None = None
    """The idempotency key to repeat a former call under; minted where it is needed."""
    within_s: float = 10.0


@attrs.frozen(kw_only=True)
class ServiceAnswer:
    """What became of a call; ``key`` repeats it, should its outcome be unknown."""

    outcome: OutcomeTag
    reason: str
    status: int
    body: bytes
    key: str | None
    tries: int
    retry_after_s: float = 0.0


@attrs.define(kw_only=True)
class ServiceCaller:
    """Calls services at whichever VM answers, always under one key a call."""

    _caller: Caller
    _addresses: tuple[Address, ...]
    _rng: random.Random = attrs.field(factory=random.SystemRandom)

    async def call(self, request: ServiceRequest) -> ServiceAnswer:
        """Give the answer, repeating the call while its outcome is open.

        A repeat is safe: under one key a call runs at most once, and what was run
        already gives its former answer again. After "not run" a new key is taken.
        """
        ends_at = trio.current_time() + request.within_s
        entry = await self._discover()
        keyed = attrs.evolve(request, key=request.key or self._mint(request, entry))
        last = ServiceAnswer(
            outcome=OutcomeTag.NOT_RUN,
            reason="unreachable",
            status=0,
            body=b"",
            key=keyed.key,
            tries=0,
        )
        for address in self._in_turn(entry):
            last = await self._try(keyed, address, last, ends_at)
            pause_s = _pause_after(last)
            if pause_s is None or trio.current_time() + pause_s >= ends_at:
                return last
            await trio.sleep(pause_s)
            keyed = self._for_repeat(request, keyed, last, entry)
        return last

    def _for_repeat(
        self,
        request: ServiceRequest,
        keyed: ServiceRequest,
        last: ServiceAnswer,
        entry: EntryAnswer | None,
    ) -> ServiceRequest:
        """Give what to send next: a key of which "not run" was told never runs any more."""
        if last.outcome is not OutcomeTag.NOT_RUN or not last.status or request.key is not None:
            return keyed
        return attrs.evolve(keyed, key=self._mint(request, entry))

    async def _discover(self) -> EntryAnswer | None:
        try:
            return await self._caller.discover()
        except (PeerError, NoAnswer):
            return None

    def _mint(self, request: ServiceRequest, entry: EntryAnswer | None) -> str | None:
        if request.method in SAFE_METHODS:
            return None
        drawn = f"{self._rng.getrandbits(KEY_BITS):032x}"
        if entry is None or entry.key_home is None:
            return drawn
        home = KeyHome(
            home=Incarnation.parse(entry.key_home.home),
            age_s=entry.key_home.life_s,
            lifetime_s=entry.key_home.lifetime_s,
        )
        return str(home.mint(random=drawn))

    def _in_turn(self, entry: EntryAnswer | None) -> Iterator[Address]:
        told = [Address.parse(text) for text in entry.addresses] if entry else []
        return cycle([*told, *(known for known in self._addresses if known not in told)])

    async def _try(
        self, request: ServiceRequest, address: Address, last: ServiceAnswer, ends_at: float
    ) -> ServiceAnswer:
        left_s = ends_at - trio.current_time()
        if left_s <= 0:
            return last
        tries = last.tries + 1
        try:
            response = await fetch(
                address,
                method=request.method,
                path=request.path,
                headers=_headers(request, left_s),
                body=request.body,
                step=STEP,
                timeout_s=left_s,
            )
        except ConnectFailed:
            return attrs.evolve(last, tries=tries)
        except PeerError as error:
            return attrs.evolve(
                last, outcome=OutcomeTag.UNKNOWN, reason=str(error), status=0, tries=tries
            )
        return _read(response, request, tries)


def _headers(request: ServiceRequest, left_s: float) -> Headers:
    headers = Headers(((DEADLINE_HEADER, f"{left_s:.3f}"),))
    if request.body:
        headers = headers.with_field("Content-Type", request.content_type)
    if request.key is not None:
        headers = headers.with_field(KEY_HEADER, request.key)
    if request.api_key is not None:
        headers = headers.with_field("Authorization", f"Bearer {request.api_key}")
    return headers


def _read(response: Response, request: ServiceRequest, tries: int) -> ServiceAnswer:
    tag = response.headers.get(OUTCOME_HEADER, OutcomeTag.UNKNOWN.value)
    return ServiceAnswer(
        outcome=OutcomeTag(tag),
        reason=response.headers.get(REASON_HEADER) or "",
        status=response.status,
        body=response.body,
        key=request.key,
        tries=tries,
        retry_after_s=_retry_after_s(response.headers),
    )


def _retry_after_s(headers: Headers) -> float:
    return float(whole_number(headers.get(RETRY_AFTER_HEADER)) or 0)


def _pause_after(answer: ServiceAnswer) -> float | None:
    """Give how long to wait before a repeat, or None where a repeat would change nothing."""
    if answer.outcome in FINAL or answer.status in BAD_REQUEST_STATUSES:
        return None
    return max(PAUSE_S, answer.retry_after_s)
