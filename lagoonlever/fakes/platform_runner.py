"""The stand-in of an application runner on the users' platform, with faults to order."""

from __future__ import annotations

import enum
from collections import Counter, deque
from collections.abc import Callable, Collection

import trio

from lagoonlever.fakes.raw_answers import Endless, raw_answer, raw_head, write_endless
from lagoonlever.fakes.scripted_answers import ScriptedAnswers
from lagoonlever.fakes.target_room import USUAL_PRIORITY, TargetRoom
from lagoonlever.fakes.target_words import TargetWords
from lagoonlever.http.exchange import CallerGone, Exchange
from lagoonlever.http.messages import Headers
from lagoonlever.http.server import serve_http
from lagoonlever.http.server_limits import ServerLimits, ServerState
from lagoonlever.platform.headers import (
    EXPECTED_TARGET,
    MISDIRECTED,
    PRIORITY,
    REFUSED,
    REQUEST_ID,
    SEAL,
    TARGET_ID,
)

OK = 200
FAILED = 500
BUSY = 503


class Conduct(enum.Enum):
    """What a runner does with one request."""

    SERVE = "serve"
    FAIL = "fail"
    """Runs it and answers 500."""
    FAIL_BUSY = "fail-busy"
    """Runs it and answers 503, and does not say that it has not run it."""
    REFUSE = "refuse"
    """Says that it has not run it."""
    REFUSE_TWICE = "refuse-twice"
    """Says so, and once more where the next answer on the connection is due."""
    ANSWER_TWICE = "answer-twice"
    """Serves it, and answers once more where the next answer on the connection is due."""
    LOSE_ANSWER = "lose-answer"
    """Runs it and closes the connection."""
    STAY_SILENT = "stay-silent"
    """Runs it and never answers."""
    CUT_ANSWER = "cut-answer"
    """Runs it and closes within its answer."""
    FOREIGN_ANSWER = "foreign-answer"
    """Runs it and answers with another request's id."""
    MANY_FOREIGN = "many-foreign"
    """Runs it and answers ten other requests."""
    NO_LENGTH = "no-length"
    """Runs it and answers with neither a length nor chunks; the answer ends with its connection."""
    GARBAGE = "garbage"
    """Runs it and sends bytes that are no answer."""


REFUSALS = frozenset({Conduct.REFUSE, Conduct.REFUSE_TWICE})


class FakeRunner:
    """One runner; ``conducts`` are taken in turn, and it serves when there is none."""

    def __init__(
        self,
        *,
        target_id: str,
        work_s: float = 0.0,
        deadly: Collection[str] = (),
        die: Callable[[], None] = lambda: None,
    ) -> None:
        self.target_id = target_id
        self.work_s = work_s
        self.conducts: deque[Conduct] = deque()
        self.runs: Counter[str] = Counter()
        self.scripted = ScriptedAnswers(runs=self.runs)
        """Answers that go before all others."""
        self.seen: list[Headers] = []
        self.arrivals: list[str] = []
        self.arrived_at: list[float] = []
        self.turned_away_at: list[float] = []
        """When it had no room for a request."""
        self.says = TargetWords(load="1,0,6")
        self.room = TargetRoom()
        self.names_refused = True
        """Whether its refusals name the request that they belong to."""
        self._state = ServerState()
        self.endless: Endless | None = None
        """What it answers without end, in place of its answers."""
        self.endless_bytes: list[int] = []
        """The bytes of each such answer that were taken."""
        self._late_copies: dict[str, bytes] = {}
        """Second copies of answers that are still to come, by the peer of the connection."""
        self._deadly = deadly
        """Bodies of requests under which the runner ends as it runs them."""
        self._die = die

    @property
    def connections(self) -> int:
        """Connections that are open now."""
        return self._state.open_connections

    async def run(self, listeners: list[trio.SocketListener]) -> None:
        """Serve until cancelled."""
        await serve_http(
            handler=self.handle, listeners=listeners, limits=ServerLimits(), state=self._state
        )

    async def handle(self, exchange: Exchange) -> None:
        """Answer one request."""
        headers = exchange.request.headers
        request_id = headers.get(REQUEST_ID) or ""
        self.seen.append(headers)
        self.arrivals.append(request_id)
        self.arrived_at.append(trio.current_time())
        late_copy = self._late_copies.pop(exchange.request.peer, None)
        if late_copy is not None:
            await exchange.write_raw(late_copy)
        if await self.scripted.play(exchange):
            return
        if headers.get(EXPECTED_TARGET) not in (None, self.target_id):
            other = Headers(((REQUEST_ID, request_id), (TARGET_ID, self.target_id)))
            await exchange.respond(status=MISDIRECTED, headers=other, body=b"")
            return
        if self.endless is not None:
            fields = ((REQUEST_ID, request_id), (SEAL, f"seal-{request_id}"))
            taken = await write_endless(
                exchange.write_raw, self.endless, fields, refused=(REFUSED, "1")
            )
            self.endless_bytes.append(taken)
            raise CallerGone
        conduct = self.conducts.popleft() if self.conducts else Conduct.SERVE
        priority = int(headers.get(PRIORITY) or USUAL_PRIORITY)
        place = None
        if conduct not in REFUSALS:
            place = self.room.enter(priority=priority, tokens=0)
            if place is None:
                self.turned_away_at.append(trio.current_time())
        if place is None:
            load = self.says.load_field(self.room)
            said = self.says.fields(refusal=True)
            name = ((REQUEST_ID, request_id),) if self.names_refused else ()
            refusal = (*name, (REFUSED, "1"), *load, *said)
            if conduct is Conduct.REFUSE_TWICE:
                copy = raw_answer(refusal, status=f"{BUSY} Busy")
                self._late_copies[exchange.request.peer] = copy
            await exchange.respond(status=BUSY, headers=Headers(refusal), body=b"")
            return
        try:
            await place.admitted.wait()
            self.runs[request_id] += 1
            await trio.sleep(self.work_s * self.says.pace)
        finally:
            self.room.leave(place)
        if exchange.request.body.decode(errors="replace") in self._deadly:
            self._die()
            await trio.sleep_forever()
        await self._answer(exchange, request_id, conduct)

    async def _answer(self, exchange: Exchange, request_id: str, conduct: Conduct) -> None:
        body = b"answer to " + request_id.encode()
        load = self.says.load_field(self.room)
        fields = [(REQUEST_ID, request_id), (SEAL, f"seal-{request_id}"), *load]
        fields += self.says.fields()
        if conduct is Conduct.LOSE_ANSWER:
            raise CallerGone
        if conduct is Conduct.STAY_SILENT:
            await trio.sleep_forever()
        if conduct is Conduct.GARBAGE:
            await exchange.write_raw(b"\x00\x01 not HTTP at all\r\n\r\n")
            raise CallerGone
        if conduct is Conduct.CUT_ANSWER:
            sized = Headers((*fields, ("Content-Length", str(len(body) + 10))))
            await exchange.start_stream(status=OK, headers=sized)
            await exchange.write(body)
            raise CallerGone
        if conduct is Conduct.MANY_FOREIGN:
            others = [((REQUEST_ID, f"other-{number}"),) for number in range(10)]
            answers = (raw_answer(other, status="200 OK", body=body) for other in others)
            await exchange.write_raw(b"".join(answers))
            await trio.sleep_forever()
        if conduct is Conduct.NO_LENGTH:
            await exchange.write_raw(raw_head(fields) + body)
            raise CallerGone
        if conduct is Conduct.FOREIGN_ANSWER:
            fields[0] = (REQUEST_ID, "somebody-else")
        if conduct is Conduct.ANSWER_TWICE:
            self._late_copies[exchange.request.peer] = raw_answer(
                fields, status="200 OK", body=body
            )
        status = {Conduct.FAIL: FAILED, Conduct.FAIL_BUSY: BUSY}.get(conduct, OK)
        await exchange.respond(status=status, headers=Headers(tuple(fields)), body=body)
