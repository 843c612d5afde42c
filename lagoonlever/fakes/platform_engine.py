"""The stand-in of an engine on the users' platform: prompts, events, copies of runs, reports.

Its events depend on the prompt's own part and their number only, so that a splice of
two answers shows in their text.
"""

from __future__ import annotations

import contextlib
import enum
import itertools
from collections import Counter, deque
from collections.abc import Callable, Collection

import attrs
import msgspec
import trio

from lagoonlever.fakes.raw_answers import Endless, raw_answer, raw_head, write_endless
from lagoonlever.fakes.scripted_answers import ScriptedAnswers
from lagoonlever.fakes.target_room import USUAL_PRIORITY, Place, TargetRoom
from lagoonlever.fakes.target_words import TargetWords
from lagoonlever.http.exchange import CallerGone, Exchange
from lagoonlever.http.messages import Headers, Request
from lagoonlever.http.server import serve_http
from lagoonlever.http.server_limits import ServerLimits, ServerState
from lagoonlever.http.sse import EVENT_STREAM_TYPE
from lagoonlever.platform import engine_calls
from lagoonlever.platform.headers import (
    COPY_FROM,
    COPY_TO,
    EXPECTED_TARGET,
    LAST_EVENT_ID,
    MISDIRECTED,
    PRIORITY,
    PROMPT_PARTS,
    REFUSED,
    REQUEST_ID,
    SEAL,
    TARGET_ID,
    TOKEN_COUNT,
)

OK = 200
NOT_THERE = 404
BUSY = 503
EVENT_TOKENS = 8
USUAL_VERSION = "v1"
"""The version of an engine's software; events of any other one name it."""
DIES_AFTER_S = 0.01
"""From the head of an answer until the engine that a request ends is gone."""


class EngineConduct(enum.Enum):
    """What an engine does with one run."""

    SERVE = "serve"
    REFUSE = "refuse"
    """Says that it has not run it."""
    REFUSE_TWICE = "refuse-twice"
    """Says so, and once more where the next answer on the connection is due."""
    LOSE_ANSWER = "lose-answer"
    """Begins the run and closes the connection."""
    STAY_SILENT = "stay-silent"
    """Begins the run and never answers; its report tells the run."""
    HALF_EVENT = "half-event"
    """Closes in the middle of its third event."""
    SKIP_EVENT = "skip-event"
    """Leaves its third event out."""
    NO_LENGTH = "no-length"
    """Answers with neither a length nor chunks; the answer ends with its connection."""
    NO_LENGTH_HALF = "no-length-half"
    """The same, and closes in the middle of its third event."""
    NO_LENGTH_END = "no-length-end"
    """The same, and its process ends right after its third event."""
    NO_LENGTH_HEAD_END = "no-length-head-end"
    """The same, and its process ends right after the head."""


class DeathStage(enum.Enum):
    """How much of its answer an engine has written when a prompt ends it."""

    BEFORE_HEAD = "before-head"
    IN_HEAD = "in-head"
    HEAD = "head"
    IN_EVENT = "in-event"
    """Its head, and half of its first event."""
    FIRST_EVENT = "first-event"
    """Its head and its first event."""


REFUSALS = frozenset({EngineConduct.REFUSE, EngineConduct.REFUSE_TWICE})
NO_LENGTH = frozenset(
    {
        EngineConduct.NO_LENGTH,
        EngineConduct.NO_LENGTH_HALF,
        EngineConduct.NO_LENGTH_END,
        EngineConduct.NO_LENGTH_HEAD_END,
    }
)


@attrs.define(kw_only=True)
class EngineRun:
    """One run: how many events it has made, its prompt's tokens."""

    request_id: str
    part: str
    prompt_tokens: int
    question: bytes = b""
    """The path and body of its request, which are the same in each of its retries."""
    shared: frozenset[str] = frozenset()
    """The parts of its prompt that others may have as well."""
    events: int = 0
    begun_after: int = 0
    """The event that its request names as the last one that its caller has."""
    number: int = 0
    """Of its engine's runs, in the order of their begins."""
    flowing: bool = False
    place: Place | None = None
    stopped: trio.CancelScope = attrs.field(factory=trio.CancelScope)
    """Cancelled where the engine is told to end the run; its connection closes then."""


class FakeEngine:
    """One engine; those of a test share ``fleet``, by address, to hold each other's copies."""

    def __init__(
        self,
        *,
        target_id: str,
        fleet: dict[str, FakeEngine],
        prefill_tokens_per_s: float = 100_000.0,
        event_s: float = 0.005,
        started_ms: int | None = None,
        version: str = USUAL_VERSION,
        deadly: Collection[str] = (),
        die: Callable[[], None] = lambda: None,
    ) -> None:
        self.target_id = target_id
        self.started_ms = started_ms
        self.version = version
        """Of its software; what it writes shows it."""
        self.dies_at = DeathStage.HEAD
        """How much it has written when a prompt ends it."""
        self.notices_gone_s = 0.0
        """For which it goes on with a request whose caller has left."""
        self.prefill_tokens_per_s = prefill_tokens_per_s
        self.event_s = event_s
        self.conducts: deque[EngineConduct] = deque()
        self.frozen = trio.Event()
        """Set once the engine stands still for good: it accepts and answers nothing."""
        self.frozen_runs = trio.Event()
        """Set once its runs stand still; it answers questions."""
        self.waiting = 0
        """Requests that it reports to wait, beside those that it has."""
        self.first_waiting: int | None = None
        """The tokens that it reports of the first of them."""
        self.memory_used = 0
        """What it reports, in tokens."""
        self.refused = 0
        """Requests that named a copy which is not here."""
        self.runs: dict[str, EngineRun] = {}
        self.copies: dict[str, EngineRun] = {}
        self.kept: dict[str, int] = {}
        self.read_tokens: Counter[str] = Counter()
        """Prompt tokens read, by the prompt's own part."""
        self.scripted = ScriptedAnswers(runs=Counter())
        """Answers to requests that go before all others."""
        self.seen: list[Headers] = []
        self.arrived_at: list[float] = []
        self.resumed_foreign: list[tuple[str, str]] = []
        """Requests that went on from the memory of another one, which is named second."""
        self.turned_away_at: list[float] = []
        """When it had no room for a request."""
        self.says = TargetWords()
        self.room = TargetRoom()
        self.reported_state: object = "ready"
        """The state that its reports tell."""
        self.cancelled: list[str] = []
        self.stopped: list[str] = []
        """The requests whose runs it was told to end."""
        self.questions: Counter[str] = Counter()
        self.endless: Endless | None = None
        """What it answers to everything without end, in place of its answers."""
        self.endless_bytes: list[int] = []
        """The bytes of each such answer that were taken."""
        self.answers_copies_twice = False
        """Whether it answers an order for a copy once more, where the next answer is due."""
        self._late_copies: dict[str, bytes] = {}
        """Second copies of answers that are still to come, by the peer of the connection."""
        self._fleet = fleet
        self._numbers = itertools.count()
        self._deadly = deadly
        """Parts of prompts under which the engine ends as it begins to run them."""
        self._die = die

    async def run(self, listeners: list[trio.SocketListener]) -> None:
        """Serve until cancelled."""
        await serve_http(
            handler=self.handle,
            listeners=listeners,
            limits=ServerLimits(),
            state=ServerState(),
        )

    async def handle(self, exchange: Exchange) -> None:
        """Answer a request or a question."""
        if self.frozen.is_set():
            await trio.sleep_forever()
        late_copy = self._late_copies.pop(exchange.request.peer, None)
        if late_copy is not None:
            await exchange.write_raw(late_copy)
        if self.endless is not None:
            await self._answer_endless(exchange, self.endless)
        path = exchange.request.path
        if path == engine_calls.REPORT_PATH:
            await self._report(exchange)
        elif path == engine_calls.KEPT_PATH:
            await self._list_kept(exchange)
        elif path == engine_calls.COPY_PATH:
            await self._copy(exchange)
        elif path.startswith(engine_calls.FREE_PATH):
            await self._free(exchange, path.removeprefix(engine_calls.FREE_PATH))
        else:
            await self._serve(exchange)

    async def _answer_endless(self, exchange: Exchange, kind: Endless) -> None:
        request_id = exchange.request.headers.get(REQUEST_ID) or ""
        fields = ((REQUEST_ID, request_id), (SEAL, f"seal-{self.target_id}"))
        taken = await write_endless(exchange.write_raw, kind, fields, refused=(REFUSED, "1"))
        self.endless_bytes.append(taken)
        raise CallerGone

    async def _report(self, exchange: Exchange) -> None:
        self.questions["report"] += 1
        flowing = [run for run in self.runs.values() if run.flowing]
        report = engine_calls.Report(
            born=self.started_ms,
            queued=self.waiting + self.room.waiting,
            running=len(self.runs) - self.room.waiting,
            kv_used=max(self.memory_used, min(55_000, self.room.used_tokens)),
            kv_total=55_000,
            next=self.first_waiting,
            state=self.reported_state,
            runs=[(r.request_id, r.prompt_tokens, r.events, 5) for r in flowing],
        )
        await exchange.respond(status=OK, headers=Headers(), body=msgspec.json.encode(report))

    async def _list_kept(self, exchange: Exchange) -> None:
        self.questions["kept"] += 1
        held = [("", part, tokens, "m") for part, tokens in self.kept.items()]
        body = msgspec.json.encode(engine_calls.Kept(held=held))
        await exchange.respond(status=OK, headers=Headers(), body=body)

    async def _copy(self, exchange: Exchange) -> None:
        self.questions["copy"] += 1
        ask = msgspec.json.decode(exchange.request.body, type=engine_calls.CopyAsk)
        run, holder = self.runs.get(ask.id), self._fleet.get(ask.to)
        if run is None or not run.flowing or (holder is None and not ask.last):
            await exchange.respond(status=NOT_THERE, headers=Headers(), body=b"")
            return
        name = f"handle-{ask.id}"
        if ask.last:
            run.stopped.cancel()
            del self.runs[ask.id]
            self.stopped.append(ask.id)
            self.copies[name] = attrs.evolve(run)
        if holder is None:
            body = msgspec.json.encode(engine_calls.CopyMade(handle=name, created=run.events))
            await exchange.respond(status=BUSY, headers=Headers(), body=body)
            return
        holder.copies[name] = attrs.evolve(run)
        body = msgspec.json.encode(engine_calls.CopyMade(handle=name, created=run.events))
        if self.answers_copies_twice:
            self._late_copies[exchange.request.peer] = raw_answer((), status="200 OK", body=body)
        await exchange.respond(status=OK, headers=Headers(), body=body)

    async def _free(self, exchange: Exchange, name: str) -> None:
        for engine in self._fleet.values():
            engine.copies.pop(name, None)
        await exchange.respond(status=OK, headers=Headers(), body=b"")

    async def _serve(self, exchange: Exchange) -> None:
        headers = exchange.request.headers
        self.seen.append(headers)
        self.arrived_at.append(trio.current_time())
        if await self.scripted.play(exchange):
            return
        if headers.get(EXPECTED_TARGET) != self.target_id:
            echoed = (REQUEST_ID, headers.get(REQUEST_ID) or "")
            other = Headers((echoed, (TARGET_ID, self.target_id)))
            await exchange.respond(status=MISDIRECTED, headers=other, body=b"")
            return
        run = self._begin(exchange.request)
        twice = False
        if self.conducts and self.conducts[0] in REFUSALS:
            twice = self.conducts.popleft() is EngineConduct.REFUSE_TWICE
            run = None
        if run is None:
            self.refused += 1
            await self._refuse(exchange, twice=twice)
            return
        priority = int(headers.get(PRIORITY) or USUAL_PRIORITY)
        run.place = self.room.enter(priority=priority, tokens=run.prompt_tokens)
        if run.place is None:
            self.turned_away_at.append(trio.current_time())
            await self._refuse(exchange)
            return
        self.runs[run.request_id] = run
        self.record_accepted(headers)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._cancel_when_gone, exchange, run, nursery.cancel_scope)
                with run.stopped:
                    await self._generate(exchange, run)
                nursery.cancel_scope.cancel()
        finally:
            if self.runs.get(run.request_id) is run:
                del self.runs[run.request_id]
            self.room.leave(run.place)
        if run.stopped.cancelled_caught:
            raise CallerGone

    def record_accepted(self, headers: Headers) -> None:
        """Record a request that was not rejected, and runs."""

    def record_resumed_foreign(self, request: str, former: str) -> None:
        """Record a request that goes on from the memory of another one, ``former``."""
        self.resumed_foreign.append((request, former))

    def event_of(self, run: EngineRun, number: int) -> bytes:
        """Return the event of a run with this number."""
        return event_bytes(run.part, number, version=self.version)

    async def _refuse(self, exchange: Exchange, *, twice: bool = False) -> None:
        request_id = exchange.request.headers.get(REQUEST_ID) or ""
        load, said = self.says.load_field(self.room), self.says.fields(refusal=True)
        refusal = ((REQUEST_ID, request_id), (REFUSED, "1"), *load, *said)
        if twice:
            copy = raw_answer(refusal, status=f"{BUSY} Busy")
            self._late_copies[exchange.request.peer] = copy
        await exchange.respond(status=BUSY, headers=Headers(refusal), body=b"")

    def _begin(self, request: Request) -> EngineRun | None:
        """Return the run of a request, or None if it names a copy that is not here."""
        headers = request.headers
        request_id = headers.get(REQUEST_ID) or ""
        named = (headers.get(PROMPT_PARTS) or "p:100").split(",")
        *shared, part = (entry.partition(":")[0] for entry in named)
        prompt_tokens = int((headers.get(TOKEN_COUNT) or "100,80").partition(",")[0])
        run = EngineRun(
            request_id=request_id,
            part=part,
            prompt_tokens=prompt_tokens,
            shared=frozenset(shared),
            question=f"{request.target} ".encode() + request.body,
        )
        run.events = run.begun_after = int(headers.get(LAST_EVENT_ID) or 0)
        run.number = next(self._numbers)
        copy_from = headers.get(COPY_FROM)
        if copy_from is None:
            return run
        copy = self.copies.pop(copy_from.partition("/")[2], None)
        if copy is None or copy.part != part:
            return None
        if copy.question != run.question:
            self.record_resumed_foreign(request_id, copy.request_id)
        self.kept[part] = prompt_tokens
        return run

    async def _cancel_when_gone(
        self, exchange: Exchange, run: EngineRun, scope: trio.CancelScope
    ) -> None:
        await exchange.wait_gone()
        await trio.sleep(self.notices_gone_s)
        self.cancelled.append(run.request_id)
        scope.cancel()

    async def _generate(self, exchange: Exchange, run: EngineRun) -> None:
        headers = exchange.request.headers
        conduct = self.conducts.popleft() if self.conducts else EngineConduct.SERVE
        await self._wait_admitted(run)
        if run.part not in self.kept:
            await self.read_prompt(run)
        run.flowing = True
        self.kept[run.part] = run.prompt_tokens
        if conduct is EngineConduct.LOSE_ANSWER:
            raise CallerGone
        if conduct is EngineConduct.STAY_SILENT:
            run.events += 10
            await trio.sleep_forever()
        fields = (
            ("Content-Type", EVENT_STREAM_TYPE),
            (REQUEST_ID, run.request_id),
            (SEAL, f"seal-{self.target_id}"),
            *self.says.load_field(self.room),
            *self.says.fields(),
        )
        is_deadly = run.part in self._deadly or not run.shared.isdisjoint(self._deadly)
        if is_deadly and self.dies_at is DeathStage.BEFORE_HEAD:
            await self._end_at_once()
        if is_deadly and self.dies_at is DeathStage.IN_HEAD:
            head = raw_head(fields)
            await exchange.write_raw(head[: len(head) // 2])
            await self._end_at_once()
        if is_deadly:
            # A reset by the caller is no help to an engine that its prompt ends.
            with contextlib.suppress(CallerGone):
                await self._write_before_end(exchange, run, conduct, fields)
            await trio.sleep(DIES_AFTER_S)
            await self._end_at_once()
        await self._write_head(exchange, conduct, fields)
        if conduct is EngineConduct.NO_LENGTH_HEAD_END:
            await self._end_at_once()
        holder = self._fleet.get(headers.get(COPY_TO) or "")
        output = int((headers.get(TOKEN_COUNT) or "100,80").partition(",")[2] or 80)
        await self._emit(exchange, run, holder, conduct, last=max(1, output // EVENT_TOKENS))
        if conduct in NO_LENGTH:
            raise CallerGone
        await exchange.finish()
        if holder is not None:
            holder.copies.pop(run.request_id, None)

    async def _write_head(
        self, exchange: Exchange, conduct: EngineConduct, fields: tuple[tuple[str, str], ...]
    ) -> None:
        if conduct in NO_LENGTH:
            await exchange.write_raw(raw_head(fields))
        else:
            await exchange.start_stream(status=OK, headers=Headers(fields))

    async def _write_before_end(
        self,
        exchange: Exchange,
        run: EngineRun,
        conduct: EngineConduct,
        fields: tuple[tuple[str, str], ...],
    ) -> None:
        """Write as much as an engine does that a prompt ends: the head, and what may follow."""
        await self._write_head(exchange, conduct, fields)
        if conduct is EngineConduct.NO_LENGTH_HEAD_END:
            await self._end_at_once()
        event = self.event_of(run, run.events + 1)
        if self.dies_at is DeathStage.IN_EVENT:
            await exchange.write(event[: len(event) // 2])
        elif self.dies_at is DeathStage.FIRST_EVENT:
            run.events += 1
            await exchange.write(event)

    async def _end_at_once(self) -> None:
        """End with all connections, as a process that crashes."""
        self._die()
        await trio.sleep_forever()

    async def read_prompt(self, run: EngineRun) -> None:
        """Read a prompt; others may be read at the same time."""
        self.read_tokens[run.part] += run.prompt_tokens
        await trio.sleep(run.prompt_tokens / self.prefill_tokens_per_s * self.says.pace)

    async def _wait_admitted(self, run: EngineRun) -> bool:
        """Wait until a run has a slot; gives whether it had to."""
        assert run.place is not None
        had_to = not run.place.admitted.is_set()
        await run.place.admitted.wait()
        return had_to

    async def _emit(
        self,
        exchange: Exchange,
        run: EngineRun,
        holder: FakeEngine | None,
        conduct: EngineConduct,
        *,
        last: int,
    ) -> None:
        made = 0
        write = exchange.write_raw if conduct in NO_LENGTH else exchange.write
        halves = conduct in (EngineConduct.HALF_EVENT, EngineConduct.NO_LENGTH_HALF)
        while run.events < last:
            await trio.sleep(self.event_s * self.says.pace)
            if await self._wait_admitted(run):
                await self.read_prompt(run)
            if self.frozen.is_set() or self.frozen_runs.is_set():
                await trio.sleep_forever()
            made += 1
            run.events += 1
            assert run.place is not None
            self.room.grow(run.place, EVENT_TOKENS)
            event = self.event_of(run, run.events)
            if made == 3 and conduct is EngineConduct.SKIP_EVENT:
                continue
            if made == 3 and halves:
                await write(event[: len(event) // 2])
                raise CallerGone
            await write(event)
            if holder is not None:
                holder.copies[run.request_id] = attrs.evolve(run)
            if made == 3 and conduct is EngineConduct.NO_LENGTH_END:
                await self._end_at_once()


def event_bytes(part: str, number: int, *, version: str = USUAL_VERSION) -> bytes:
    """Return the event of a prompt with this number, alike on every engine of a version."""
    written_by = "" if version == USUAL_VERSION else f" by {version}"
    return f"id: {number}\ndata: {part} {number}{written_by}\n\n".encode()


def version_of_event(event: bytes) -> str:
    """Return the version of the software that wrote an event."""
    _, _, written_by = event.decode().strip().partition(" by ")
    return written_by or USUAL_VERSION
