"""Sends requests to targets and reads the heads of their answers.

The outcome of an attempt says what is known of it: whether anything was sent, and
whether the target can have run it. Everything else follows from that.
"""

from __future__ import annotations

import contextlib
from dataclasses import dataclass

import attrs
import logbook
import trio

from lagoonlever.decisions.targets.listed_target import ListedTarget
from lagoonlever.exceptions import BadResponse, ConnectFailed, ConnectionBroken
from lagoonlever.gateway import events_calls, metrics
from lagoonlever.gateway.dialer import TargetDialer
from lagoonlever.gateway.messages import AnswerHead, Hop
from lagoonlever.gateway.tally import Tally
from lagoonlever.gateway.target_words import TargetWords
from lagoonlever.http.client import ClientConnection, Pool, Response
from lagoonlever.http.exchange import Exchange
from lagoonlever.http.messages import Address, Request
from lagoonlever.platform.headers import read_answer, to_target

log = logbook.Logger(__name__)

CONNECT_TIMEOUT_S = 0.15
"""A target accepts within a few milliseconds; one that does not is passed over.

A lost packet of the handshake is sent again only after a second: another target is
sooner reached.
"""
MAX_BODY_BYTES = 16 * 1024 * 1024
SMALL_BODY_BYTES = 256 * 1024
"""An answer up to this size is read however many there are."""
MAX_HELD_BYTES = 32 * 1024 * 1024
HELD_MEMORY_PART = 8
"""Of the memory of the process one part in so many may be held by answers that are being read."""
DRAIN_S = 0.05
"""The body of a refusal comes with its head."""
NAMELESS_S = 60.0
"""For which a target whose refusal named no request is taken not to name those to come."""
SPOILT = " without its seal, or with an encoded body"
MAX_SKIPPED = 2
"""Answers to earlier requests that are passed over: a target that sends more mixes them up."""


@attrs.frozen(kw_only=True)
class OpenAnswer:
    """An answer whose head was read and whose body is still to come."""

    connection: ClientConnection
    response: Response
    head: AnswerHead


@dataclass(frozen=True, kw_only=True)
class NotSent:
    """Nothing reached the target."""

    detail: str


@dataclass(frozen=True, kw_only=True)
class Held:
    """Nothing was sent, as the target takes no more than it gets."""

    target: str


@dataclass(frozen=True, kw_only=True)
class Refused:
    """The target says that it has not run the request."""

    head: AnswerHead
    kept: bool = False
    """Whether the connection had carried another request before."""

    @property
    def evidence(self) -> str:
        """What shows that the refusal is that of the request, in a few words."""
        named = "without an id" if self.head.request_id is None else "by its id"
        return f"{named}, on a {'kept' if self.kept else 'new'} connection"


@dataclass(frozen=True, kw_only=True)
class Lost:
    """The request was sent, and no answer came that is one: it may have run."""

    detail: str


@dataclass(frozen=True, kw_only=True)
class Answered:
    """A whole answer of the target."""

    head: AnswerHead
    response: Response


AttemptResult = NotSent | Held | Refused | Lost | Answered


@attrs.define(kw_only=True)
class TargetClient:
    """Owns the connections to targets."""

    _words: TargetWords
    """Hears what each answer says of its target."""
    _dialer: TargetDialer
    _tally: Tally
    _max_held_bytes: int = MAX_HELD_BYTES
    """Of the bodies of all answers that are being read."""
    _pool: Pool = attrs.field(factory=Pool)
    _held_bytes: int = 0
    _nameless_until: dict[Address, float] = attrs.field(factory=dict)
    """Targets whose last refusal named no request, which proves nothing on a kept connection."""

    @property
    def held_bytes(self) -> int:
        """The bytes of answers that are being read."""
        return self._held_bytes

    async def connect(
        self, target: ListedTarget, *, rested_at_most_s: float, apart_from: str | None = None
    ) -> ClientConnection | NotSent:
        """Return a kept connection that rested no longer, or a new one.

        Always a new one to a target whose refusals named no request of late. If it leads by
        another VM, then not by ``apart_from`` as long as there is any other one.
        """
        if trio.current_time() < self._nameless_until.get(target.address, 0.0):
            rested_at_most_s = 0.0
        kept = await self._pool.take_kept(
            target.address, rested_at_most_s=rested_at_most_s, apart_from=apart_from
        )
        if kept is not None:
            self._tally.add(metrics.CONNECTIONS, "kept")
            return kept
        try:
            connection = await self._dialer.open(
                target.address, timeout_s=CONNECT_TIMEOUT_S, apart_from=apart_from
            )
        except ConnectFailed as error:
            self._tally.add(metrics.CONNECTIONS, "failed")
            return NotSent(detail=error.message)
        self._tally.add(metrics.CONNECTIONS, "new")
        return connection

    async def open(
        self, connection: ClientConnection, request: Request, hop: Hop, *, request_id: str
    ) -> OpenAnswer | Refused | Lost:
        """Write a request and read the head of its answer.

        An answer with another request's id came late or is one too many. Whatever it says, a
        refusal too, says nothing of this request. On a connection that was used before, the
        answer to this one may follow; any other is given up.
        """
        sent_at = trio.current_time()
        try:
            await connection.start(
                method=request.method,
                path=request.target,
                headers=to_target(request.headers, hop),
                body=request.body,
                step="forward",
            )
            response, head = await self._read_own_head(connection, hop, request_id)
        except (ConnectionBroken, BadResponse) as error:
            return Lost(detail=error.message)
        self.record_refusal(connection.address, head)
        if not head.is_for(request_id, first=not connection.served_before):
            return Lost(detail=f"the answer is for request {head.request_id}")
        self._words.heard(hop.target_id, head, sent_at=sent_at)
        if head.refused:
            await self._drain(connection, head)
            refused = Refused(head=head, kept=connection.served_before)
            self._tally.add(metrics.REFUSALS, refused.evidence)
            return refused
        if not head.is_own:
            return Lost(detail=f"answered {head.status}{SPOILT}")
        return OpenAnswer(connection=connection, response=response, head=head)

    def record_refusal(self, address: Address, head: AnswerHead) -> None:
        """Record whether a target names the request that it refuses, if an answer is a refusal."""
        if head.refused and head.request_id is None:
            self._nameless_until[address] = trio.current_time() + NAMELESS_S
        elif head.refused:
            self._nameless_until.pop(address, None)

    async def _read_own_head(
        self, connection: ClientConnection, hop: Hop, request_id: str
    ) -> tuple[Response, AnswerHead]:
        """Read heads until the one with a request's id, or one that nothing can follow."""
        for skipped in range(MAX_SKIPPED + 1):
            response = await connection.read_head()
            head = read_answer(response.status, response.headers)
            if head.is_for(request_id, first=not connection.served_before):
                break
            log_foreign(head, request_id=request_id, target=hop.target_id)
            may_follow = connection.served_before and head.request_id is not None
            if skipped == MAX_SKIPPED or not may_follow or head.closes:
                break
            await connection.skip_response()
        return response, head

    async def read_whole(self, answer: OpenAnswer, exchange: Exchange) -> Answered | Lost:
        """Read the rest of an answer; the exchange that it is for pays for its memory.

        Targets in trouble may send bodies without end to many calls at once. A large one is given
        up once all of them together hold more than this VM has memory for.
        """
        body = bytearray()
        size = 0
        is_whole = False
        try:
            while (piece := await answer.connection.next_piece()) is not None:
                if not exchange.pay_answer(len(piece)):
                    return Lost(detail=f"answered {size} bytes as clients fill the memory")
                body += piece
                size += len(piece)
                self._held_bytes += len(piece)
                if size > MAX_BODY_BYTES:
                    return Lost(detail=f"answered more than {MAX_BODY_BYTES} bytes")
                if size > SMALL_BODY_BYTES and self._held_bytes > self._max_held_bytes:
                    return Lost(detail=f"answered {size} bytes as answers fill the memory")
            is_whole = True
        except (ConnectionBroken, BadResponse) as error:
            return Lost(detail=error.message)
        finally:
            self._held_bytes -= size
            if not is_whole:
                exchange.return_answer(size)
        response = attrs.evolve(answer.response, body=bytes(body))
        return Answered(head=answer.head, response=response)

    async def keep(self, connection: ClientConnection) -> None:
        """Keep a connection on which nothing was sent."""
        await self._pool.put_back(connection)

    async def release(self, connection: ClientConnection, head: AnswerHead | None) -> None:
        """Keep a connection whose answer was read whole; close any other."""
        with trio.CancelScope(shield=True):
            if head is None or head.closes:
                await connection.aclose()
                return
            await self._pool.put_back(connection, idle_s=_safe_idle_s(head))

    async def reaches(self, target: ListedTarget) -> bool:
        """Check whether a target accepts a connection, which is kept for the next request."""
        try:
            connection = await self._dialer.open(target.address, timeout_s=CONNECT_TIMEOUT_S)
        except ConnectFailed:
            # No connection is the answer; the one who asked tells of it.
            return False
        await self._pool.put_back(connection)
        return True

    async def forget(self, address: Address) -> None:
        """Close the kept connections to a target."""
        self._nameless_until.pop(address, None)
        await self._pool.drop(address)

    async def aclose(self) -> None:
        """Close every kept connection."""
        await self._pool.aclose()

    async def _drain(self, connection: ClientConnection, head: AnswerHead) -> None:
        """Read the body of a refusal, so that its connection may be kept.

        Nothing hangs on the body: one that breaks, or is long or late, costs the connection.
        """
        with trio.move_on_after(DRAIN_S), contextlib.suppress(ConnectionBroken, BadResponse):
            await connection.read_body(max_bytes=SMALL_BODY_BYTES)


def log_foreign(head: AnswerHead, *, request_id: str, target: str) -> None:
    """Log an answer that belongs to another request than the one that waits for it."""
    events_calls.FOREIGN_ANSWER.log(
        log,
        target=target,
        request=request_id,
        other=head.request_id,
        status=head.status,
        refusal=head.refused,
    )


def _safe_idle_s(head: AnswerHead) -> float | None:
    """Return how long a connection may rest: well below what the target says it keeps it."""
    return None if head.idle_s is None else head.idle_s / 2
