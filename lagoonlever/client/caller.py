"""A caller that finds an entry VM, sends, and comes back by itself after a loss."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable
from typing import TypeVar

import attrs
import msgspec
import trio

from lagoonlever.client.answers import HeldStream
from lagoonlever.client.history import CallerHistory, record_told_addresses
from lagoonlever.entry.addresses import EntryAnswer
from lagoonlever.exceptions import LagoonleverException, PeerError, PeerTimeout
from lagoonlever.history.recorder import Recorder
from lagoonlever.http.client import ClientConnection, fetch
from lagoonlever.http.event_reader import EventReader
from lagoonlever.http.messages import Address, Headers
from lagoonlever.http.sse import ServerEvent
from lagoonlever.outcomes import OUTCOME_HEADER, REASON_HEADER, RETRY_AFTER_HEADER

STATUS_OK = 200
STATUS_RETRY = frozenset({429, 503})
ENTRY_PATH = "/v1/entry"
READ_STEP = "read the answer"
DISCOVER_TIMEOUT_S = 1.0
FIRST_RETRY_S = 0.05
MOST_RETRY_S = 1.0
REQUEST_ID_BITS = 96
SEED_BITS = 31
ABILITIES = "resume, restart, moved"

T = TypeVar("T")


class NoAnswer(LagoonleverException):
    """The request ended without its whole answer; tells the outcome."""

    def __init__(self, message: str, *, outcome: str, reason: str, status: int = 0) -> None:
        self.outcome = outcome
        self.reason = reason
        self.status = status
        super().__init__(message)


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
class _Visit:
    """One request on its way through the VMs that it is asked at."""

    request: CompletionRequest
    identity: str
    stream: HeldStream
    on_arrival: ArrivalHandler
    history: CallerHistory | None
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


@attrs.define(kw_only=True)
class Caller:
    """Asks the system for completions by any of its addresses."""

    _addresses: list[Address]
    _rng: random.Random = attrs.field(factory=random.SystemRandom)
    _give_up_after_s: float = 30.0
    _brings_tokens: bool = True
    """Whether to send along what is held when coming back; without it the engine is asked."""
    _silence_s: float = 3.0
    """After so long without a word a VM is asked whether it lives."""
    _silence_at_most_s: float = 15.0
    """After so long without a word another VM is gone to, though this one lives."""
    _first_silence_at_most_s: float = 120.0
    """The same before the first token: a long prompt takes its engine a while."""
    _lost: Address | None = None
    _known: list[Address] = attrs.field(factory=list)
    _known_until: float = 0.0
    _name: str = "caller"
    _recorder: Recorder | None = None

    async def discover(self) -> EntryAnswer:
        """Ask any known address which entry VMs to use now; raises the last ``PeerError``."""
        error: PeerError | None = None
        for address in self._candidates():
            try:
                response = await fetch(
                    address, path=ENTRY_PATH, step="find an entry VM", timeout_s=DISCOVER_TIMEOUT_S
                )
                answer = msgspec.json.decode(response.body, type=EntryAnswer)
            except PeerError as failed:
                error = failed
                continue
            except msgspec.MsgspecError:
                continue
            self._known = [Address.parse(text) for text in answer.addresses]
            self._known_until = trio.current_time() + answer.lifetime_s
            if self._recorder is not None:
                record_told_addresses(self._recorder, caller=self._name, answer=answer)
            return answer
        if error is None:
            raise NoAnswer("no entry VM answered", outcome="not-run", reason="no-entry")
        raise error

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
        stream = HeldStream()
        identity = request_id or f"{self._rng.getrandbits(REQUEST_ID_BITS):024x}"
        history = self._history(identity)
        visit = _Visit(
            request=request,
            identity=identity,
            stream=stream,
            on_arrival=on_arrival,
            history=history,
        )
        try:
            await self._come_until_whole(visit)
        except NoAnswer as error:
            if history is not None:
                history.got_outcome(tag=error.outcome, status=error.status, reason=error.reason)
            raise
        if history is not None:
            history.got_outcome(
                tag="done",
                status=STATUS_OK,
                finish_reason=stream.finish_reason,
                completion_tokens=len(stream.token_ids),
            )
        return stream

    async def _come_until_whole(self, visit: _Visit) -> None:
        stream = visit.stream
        last_progress = trio.current_time()
        delay_s = 0.0
        while not stream.whole:
            await trio.sleep(delay_s)
            before = len(stream.token_ids)
            address = await self._next_address()
            try:
                await self._exchange(address, visit)
            except PeerError:
                visit.record_lost(address)
                self._lost = address
                self._forget(address)
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

    async def _exchange(self, address: Address, visit: _Visit) -> None:
        visit.connected = False
        async with await ClientConnection.open(address) as connection:
            visit.connected = True
            visit.record_asked(address)
            await connection.start(
                method="POST",
                path="/v1/completions",
                headers=self._headers(visit),
                body=_body(visit.request, visit.stream if self._brings_tokens else None),
                step="ask for a completion",
            )
            head = await self._hear(
                connection, connection.read_head, at_most_s=self._first_silence_at_most_s
            )
            if head.status != STATUS_OK:
                await self._refused(connection, head.status, head.headers)
                return
            await self._read(connection, visit)
        moved = visit.stream.take_moved()
        if moved is not None:
            self._known = [Address.parse(text) for text in moved if text != str(address)]

    async def _read(self, connection: ClientConnection, visit: _Visit) -> None:
        events = EventReader(connection=connection, step=READ_STEP)
        vm = str(connection.address)
        while True:
            event = await self._hear(
                connection, events.next_event, at_most_s=self._silence_at_most_s
            )
            if event is None:
                return
            self._take_event(event, visit, vm=vm)

    def _take_event(self, event: ServerEvent, visit: _Visit, *, vm: str) -> None:
        stream = visit.stream
        restarts_before = stream.restarts
        text = stream.feed(event, peer=vm, history=visit.history)
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
        visit.on_arrival(arrival)

    async def _hear(
        self,
        connection: ClientConnection,
        next_word: Callable[[], Awaitable[T]],
        *,
        at_most_s: float,
    ) -> T:
        """Wait for a VM's next word for as long as it lives; raises a ``PeerError``.

        Guards against a VM that is paused: its connection stays open and silent, so
        a caller that only waits for an end would wait for ever. A VM that waits for
        an engine is silent too, but answers when it is asked.
        """
        give_up_at = trio.current_time() + at_most_s
        while True:
            with trio.move_on_after(self._silence_s):
                return await next_word()
            address = connection.address
            if trio.current_time() > give_up_at:
                raise PeerTimeout(f"silent for {at_most_s:g} s", step=READ_STEP, peer=str(address))
            await fetch(address, path=ENTRY_PATH, step=READ_STEP, timeout_s=DISCOVER_TIMEOUT_S)

    async def _refused(self, connection: ClientConnection, status: int, headers: Headers) -> None:
        outcome = headers.get(OUTCOME_HEADER, "unknown") or "unknown"
        reason = headers.get(REASON_HEADER, "") or ""
        if status in STATUS_RETRY:
            self._forget(connection.address)
            await trio.sleep(float(headers.get(RETRY_AFTER_HEADER, "1") or 1))
            return
        body = b"".join([piece async for piece in connection.iter_body()])
        message = body.decode("utf-8", "replace")
        raise NoAnswer(message, outcome=outcome, reason=reason, status=status)

    def _headers(self, visit: _Visit) -> Headers:
        request, stream = visit.request, visit.stream
        headers = Headers(
            (
                ("Content-Type", "application/json"),
                ("Idempotency-Key", visit.identity),
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

    async def _next_address(self) -> Address:
        if not self._known or trio.current_time() > self._known_until:
            try:
                await self.discover()
            except (PeerError, NoAnswer):
                self._known = []
        candidates = self._known or self._addresses
        others = [address for address in candidates if address != self._lost]
        return self._rng.choice(others or candidates)

    def _candidates(self) -> list[Address]:
        shuffled = list(self._addresses)
        self._rng.shuffle(shuffled)
        return self._known + [address for address in shuffled if address not in self._known]

    def _forget(self, address: Address) -> None:
        self._known = [known for known in self._known if known != address]


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
