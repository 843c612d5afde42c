"""A caller that finds an entry VM, sends, and comes back by itself after a loss."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import TypeVar

import attrs
import msgspec
import trio

from lagoonlever.client.answers import HeldStream
from lagoonlever.client.entry_directory import EntryDirectory, check_alive
from lagoonlever.client.exceptions import NoAnswer
from lagoonlever.client.history import CallerHistory
from lagoonlever.entry.fleet.addresses import EntryAnswer
from lagoonlever.exceptions import PeerError, PeerTimeout
from lagoonlever.history.recorder import Recorder
from lagoonlever.http.client import ClientConnection
from lagoonlever.http.event_reader import EventReader
from lagoonlever.http.messages import Address, Headers
from lagoonlever.http.sse import ServerEvent
from lagoonlever.outcomes import (
    OUTCOME_HEADER,
    REASON_HEADER,
    RETRY_AFTER_HEADER,
    OutcomeTag,
    Reason,
)

RETRY_STATUSES = frozenset({HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE})
READ_STEP = "read the answer"
FIRST_RETRY_S = 0.05
MOST_RETRY_S = 1.0
REQUEST_ID_BITS = 96
ABILITIES = "resume, restart, moved"

T = TypeVar("T")

__all__ = ["Arrival", "ArrivalHandler", "Caller", "CompletionRequest", "NoAnswer"]


@attrs.frozen(kw_only=True)
class CompletionRequest:
    """What to ask for; ``seed`` makes an answer repeatable on one model version."""

    model: str
    prompt: str
    max_tokens: int = 256
    seed: int | None = None
    stop: tuple[str, ...] = ()
    api_key: str | None = None
    deadline_s: float | None = None


@attrs.define(kw_only=True)
class Arrival:
    """When a piece of the answer came, by the monotonic clock, and what it added."""

    at: float
    text: str
    offset: int
    restarted: bool = False
    """What came before is void: a new generation begins with this piece."""
    vm: str = ""
    target: str = ""


ArrivalHandler = Callable[[Arrival], None]


@attrs.define(kw_only=True)
class _PendingCompletion:
    """One request from its first try to its whole answer, at however many VMs."""

    request: CompletionRequest
    identity: str
    on_arrival: ArrivalHandler
    history: CallerHistory | None
    stream: HeldStream = attrs.field(factory=HeldStream)
    connected: bool = False

    def record_asked(self, address: Address) -> None:
        """Record that the request is sent to a VM."""
        if self.history is not None:
            self.history.asked(
                vm=str(address),
                model=self.request.model,
                prompt=self.request.prompt,
                max_tokens=self.request.max_tokens,
                stop=self.request.stop,
                last=self.stream.last_event_id,
            )

    def record_lost(self, address: Address) -> None:
        """Record that a VM was not reached, or was lost before its answer's end."""
        if self.history is not None:
            self.history.lost(address=str(address), connected=self.connected)

    def record_no_answer(self, error: NoAnswer) -> None:
        """Record that the request ended without its answer."""
        if self.history is not None:
            self.history.got_outcome(tag=error.outcome, status=error.status, reason=error.reason)

    def record_whole(self) -> None:
        """Record that the whole answer has come."""
        if self.history is not None:
            self.history.got_outcome(
                tag=OutcomeTag.DONE.value,
                status=HTTPStatus.OK,
                finish_reason=self.stream.finish_reason,
                completion_tokens=len(self.stream.token_ids),
            )


@attrs.define(kw_only=True)
class Caller:
    """Asks the system for completions by any of its addresses."""

    _addresses: list[Address]
    _rng: random.Random = attrs.field(factory=random.SystemRandom)
    _give_up_after_s: float = 30.0
    _brings_tokens: bool = True
    """Whether to send along what is held when coming back; without it the engine is asked."""
    _silence_s: float = 3.0
    """After so long without data a VM is asked whether it lives."""
    _silence_at_most_s: float = 15.0
    """After so long without data another VM is tried, though this one lives."""
    _first_silence_at_most_s: float = 120.0
    """The same before the first token: a long prompt takes its engine a while."""
    _name: str = "caller"
    _recorder: Recorder | None = None
    _entries: EntryDirectory = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._entries = EntryDirectory(
            configured=tuple(self._addresses),
            rng=self._rng,
            caller=self._name,
            recorder=self._recorder,
        )

    @property
    def entries(self) -> EntryDirectory:
        """The entry VMs that this caller uses."""
        return self._entries

    async def discover(self) -> EntryAnswer:
        """Ask any known address which entry VMs to use now; raises the last ``PeerError``."""
        return await self._entries.discover()

    async def complete(
        self,
        request: CompletionRequest,
        *,
        on_arrival: ArrivalHandler,
        request_id: str | None = None,
    ) -> HeldStream:
        """Give the whole answer, coming back to other VMs as often as needed.

        Raises ``NoAnswer`` with the outcome when the system gave the request up,
        or when no VM could be reached for the time allowed.
        """
        identity = request_id or f"{self._rng.getrandbits(REQUEST_ID_BITS):024x}"
        pending = _PendingCompletion(
            request=request,
            identity=identity,
            on_arrival=on_arrival,
            history=self._history(identity),
        )
        try:
            await self._retry_until_whole(pending)
        except NoAnswer as error:
            pending.record_no_answer(error)
            raise
        pending.record_whole()
        return pending.stream

    async def _retry_until_whole(self, pending: _PendingCompletion) -> None:
        stream = pending.stream
        last_progress = trio.current_time()
        delay_s = 0.0
        while not stream.whole:
            await trio.sleep(delay_s)
            before = len(stream.token_ids)
            address = await self._entries.next_address()
            try:
                await self._exchange(address, pending)
            except PeerError:
                pending.record_lost(address)
                self._entries.lose(address)
            now = trio.current_time()
            progressed = len(stream.token_ids) > before
            last_progress = now if progressed else last_progress
            delay_s = 0.0 if progressed else min(MOST_RETRY_S, max(FIRST_RETRY_S, 2 * delay_s))
            self._check_error(stream)
            if now - last_progress > self._give_up_after_s:
                raise NoAnswer("no progress at any VM", outcome="unknown", reason="unreachable")

    def _history(self, identity: str) -> CallerHistory | None:
        if self._recorder is None:
            return None
        return CallerHistory(recorder=self._recorder, caller=self._name, request=identity)

    def _check_error(self, stream: HeldStream) -> None:
        if stream.error is not None:
            raise NoAnswer(
                stream.error.message, outcome=stream.error.outcome, reason=stream.error.reason
            )

    async def _exchange(self, address: Address, pending: _PendingCompletion) -> None:
        pending.connected = False
        async with await ClientConnection.open(address) as connection:
            pending.connected = True
            pending.record_asked(address)
            await connection.start(
                method="POST",
                path="/v1/completions",
                headers=self._headers(pending),
                body=_body(pending.request, pending.stream if self._brings_tokens else None),
                step="ask for a completion",
            )
            head = await self._read_unless_silent(
                connection, connection.read_head, at_most_s=self._first_silence_at_most_s
            )
            if head.status != HTTPStatus.OK:
                await self._handle_refusal(connection, head.status, head.headers)
                return
            await self._read(connection, pending)
        moved = pending.stream.take_moved()
        if moved is not None:
            self._entries.use(Address.parse(text) for text in moved if text != str(address))

    async def _read(self, connection: ClientConnection, pending: _PendingCompletion) -> None:
        events = EventReader(connection=connection, step=READ_STEP)
        vm = str(connection.address)
        while True:
            event = await self._read_unless_silent(
                connection, events.next_event, at_most_s=self._silence_at_most_s
            )
            if event is None:
                return
            self._take_event(event, pending, vm=vm)

    def _take_event(self, event: ServerEvent, pending: _PendingCompletion, *, vm: str) -> None:
        stream = pending.stream
        restarts_before = stream.restarts
        text = stream.feed(event, peer=vm, history=pending.history)
        restarted = stream.restarts > restarts_before
        if not text and not restarted:
            return
        arrival = Arrival(
            at=trio.current_time(),
            text=text,
            offset=len(stream.token_ids),
            restarted=restarted,
            vm=vm,
            target=stream.last_event_id.target if stream.last_event_id else "",
        )
        pending.on_arrival(arrival)

    async def _read_unless_silent(
        self,
        connection: ClientConnection,
        read: Callable[[], Awaitable[T]],
        *,
        at_most_s: float,
    ) -> T:
        """Read on for as long as the VM lives; raises a ``PeerError``, also the VM's own.

        Guards against a VM that is paused: its connection stays open and silent, so
        a caller that only waits for an end would wait for ever. A VM that waits for
        an engine is silent too, but answers when it is asked.
        """
        give_up_at = trio.current_time() + at_most_s
        while True:
            with trio.move_on_after(self._silence_s):
                return await read()
            address = connection.address
            if trio.current_time() > give_up_at:
                raise PeerTimeout(f"silent for {at_most_s:g} s", step=READ_STEP, peer=str(address))
            await check_alive(address, step=READ_STEP)

    async def _handle_refusal(
        self, connection: ClientConnection, status: int, headers: Headers
    ) -> None:
        """Wait where the VM said when to come back; raise ``NoAnswer`` at any other refusal.

        One that is refused as it ends targets would be refused again: waiting is no help.
        """
        outcome = headers.get(OUTCOME_HEADER, "unknown") or "unknown"
        reason = headers.get(REASON_HEADER, "") or ""
        if status in RETRY_STATUSES and reason != Reason.ENDS_TARGETS.value:
            self._entries.forget(connection.address)
            await trio.sleep(float(headers.get(RETRY_AFTER_HEADER, "1") or 1))
            return
        body = b"".join([piece async for piece in connection.iter_body()])
        message = body.decode("utf-8", "replace")
        raise NoAnswer(message, outcome=outcome, reason=reason, status=status)

    def _headers(self, pending: _PendingCompletion) -> Headers:
        request, stream = pending.request, pending.stream
        headers = Headers(
            (
                ("Content-Type", "application/json"),
                ("Idempotency-Key", pending.identity),
                ("Lagoonlever-Accept", ABILITIES),
            )
        )
        if request.api_key is not None:
            headers = headers.with_field("Authorization", f"Bearer {request.api_key}")
        if request.deadline_s is not None:
            headers = headers.with_field("Lagoonlever-Deadline-S", f"{request.deadline_s:g}")
        if stream.last_event_id is not None:
            headers = headers.with_field("Last-Event-ID", str(stream.last_event_id))
        return headers


def _body(request: CompletionRequest, stream: HeldStream | None) -> bytes:
    document: dict[str, object] = {
        "model": request.model,
        "prompt": request.prompt,
        "max_tokens": request.max_tokens,
        "stream": True,
        "stop": list(request.stop),
    }
    if request.seed is not None:
        document["seed"] = request.seed
    held = stream.held() if stream is not None else None
    if held is not None:
        document["lagoonlever_held"] = held
    return msgspec.json.encode(document)
