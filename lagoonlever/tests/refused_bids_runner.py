"""An application runner as a process of its own, which keeps a book of all that it runs.

``python -m lagoonlever.tests.refused_bids_runner SETTINGS`` serves until it is killed. It reads one
line from its input, the moment at which the play begins; its troubles are counted from there.
"""

from __future__ import annotations

import enum
import math
import os
import random
import sys
import time
from http import HTTPStatus

import attrs
import msgspec
import trio

from lagoonlever.tests.refused_bids_wire import Message, Wire, encode

HEALTH_PATH = "/healthz"
COPY_DELAYS_S = (0.001, 0.05)
MEANINGLESS_SHARE = 0.3
"""Of the bytes that are no answer; all others begin like one."""
CONNECTIONS = 590
SLOTS, MOST_WAITING = 6, 24
WORK_S, WORK_SPREAD = 0.06, 0.5
TAIL_SHARE, TAIL_FACTOR, MOST_WORK_S = 0.01, 5.0, 0.45
SLOW_FACTOR = 5.0


class TroubleKind(enum.StrEnum):
    """What a runner does wrong for a while."""

    COPY_AT_NEXT = "copy-at-next"
    """Answers a second time, as the next request comes on the connection."""
    COPY_SOON = "copy-soon"
    """Answers a second time, some milliseconds after."""
    COPY_UNNAMED = "copy-unnamed"
    """Answers a second time, as the next request comes, and names no request."""
    SHED = "shed"
    """Refuses, and says that it has not run the request."""
    FAIL = "fail"
    """Runs, and answers with a status of its own, with no word of whether it has run."""
    LOSE = "lose"
    """Runs, and closes the connection."""
    RESET = "reset"
    """Runs, and resets the connection."""
    MUTE = "mute"
    """Runs, and never answers."""
    SLOW = "slow"
    """Works several times as long."""
    JUNK_LATE = "junk-late"
    """Sends bytes that are no answer, as the next request comes on the connection."""
    JUNK_SOON = "junk-soon"
    """Sends such bytes some milliseconds after an answer."""
    JUNK_INSTEAD = "junk-instead"
    """Runs, sends such bytes in place of an answer, and closes the connection."""
    BREAK_OFF = "break-off"
    """Runs, and closes the connection within the answer."""
    CUT = "cut"
    """Loses the connections of some VMs, and takes no new ones of theirs."""


COPIES = (TroubleKind.COPY_AT_NEXT, TroubleKind.COPY_SOON, TroubleKind.COPY_UNNAMED)


class Trouble(msgspec.Struct, frozen=True, kw_only=True):
    """One trouble of a runner."""

    kind: TroubleKind
    at_s: float = 0.0
    for_s: float = math.inf
    share: float = 1.0
    """Of the requests or answers; of the VMs for lost paths."""
    status: int = HTTPStatus.SERVICE_UNAVAILABLE
    only: str = ""
    """Of copies: ``refusals`` or ``answers``; both if empty."""


class RunnerSettings(msgspec.Struct, frozen=True, kw_only=True):
    """What a runner is started with."""

    target_id: str
    host: str
    port: int
    path_ports: tuple[int, ...]
    """One for each VM."""
    seed: int
    book: str
    troubles: tuple[Trouble, ...]


class BookEvent(enum.StrEnum):
    """What a runner writes of a request."""

    RAN = "ran"
    """A run begins."""
    ANSWERED = "answered"
    REFUSED = "refused"
    """It has not run and will not."""
    COPIED = "copied"
    """An answer was sent a second time."""
    SPOILED = "spoiled"
    """Bytes that belong to no request are sent behind an answer."""
    FAILED = "failed"
    """It has run, and the answer has a status of the trouble's own."""
    LOST = "lost"
    """It has run, and was not answered."""


class BookLine(msgspec.Struct, frozen=True, kw_only=True):
    """One line of a runner's book; ``at`` is a time of the machine's monotonic clock."""

    at: float
    runner: str
    event: BookEvent
    request: str
    status: int
    served_before: int
    """The requests on the connection before this one."""


@attrs.define(kw_only=True, eq=False)
class Connection:
    """A connection of a VM to this runner."""

    wire: Wire
    served: int = 0
    late: list[tuple[BookEvent, str, int, bytes]] = attrs.field(factory=list)
    """What is sent as the next request comes: what it is, request, status, bytes."""


@attrs.define(kw_only=True, eq=False)
class Runner:
    """Serves some requests at a time, lets a few wait, and refuses the rest."""

    settings: RunnerSettings
    rng: random.Random
    began_at: float = math.inf
    _begun: trio.Event = attrs.field(factory=trio.Event)
    _book: int = -1
    _slots: trio.Semaphore = attrs.field(factory=lambda: trio.Semaphore(SLOTS))
    _waiting: int = 0
    _connections: int = 0

    async def run(self) -> None:
        """Serve on all ports until the process ends."""
        self._book = os.open(self.settings.book, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)
        async with trio.open_nursery() as nursery:
            for number, port in enumerate((self.settings.port, *self.settings.path_ports)):
                nursery.start_soon(self._run_port, number, port)
            line = await trio.to_thread.run_sync(sys.stdin.readline)
            self.began_at = float(line)
            self._begun.set()

    async def _run_port(self, number: int, port: int) -> None:
        for trouble in self.settings.troubles:
            draw = random.Random(f"{self.settings.seed}-{number}-{trouble.at_s}").random()
            if trouble.kind is TroubleKind.CUT and draw < trouble.share:
                await self._listen_until(port, trouble.at_s)
                await self._sleep_until(trouble.at_s + trouble.for_s)
        await self._listen(port)

    async def _listen_until(self, port: int, at_s: float) -> None:
        """Serve on a port until a moment of the play; its connections end with it."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._listen, port)
            await self._sleep_until(at_s)
            nursery.cancel_scope.cancel()

    async def _sleep_until(self, at_s: float) -> None:
        await self._begun.wait()
        await trio.sleep(max(0.0, self.began_at + at_s - time.monotonic()))

    async def _listen(self, port: int) -> None:
        await trio.serve_tcp(self._serve, port, host=self.settings.host, backlog=512)

    async def _serve(self, stream: trio.SocketStream) -> None:
        connection = Connection(wire=Wire(stream=stream))
        if self._connections >= CONNECTIONS:
            connection.wire.reset()
            return
        self._connections += 1
        try:
            async with trio.open_nursery() as nursery:
                await self._serve_requests(connection, nursery)
        except* (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            pass
        finally:
            self._connections -= 1
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(stream)

    async def _serve_requests(self, connection: Connection, nursery: trio.Nursery) -> None:
        while True:
            request = await connection.wire.read()
            for event, name, status, data in connection.late:
                self._note(event, name, status, connection)
                await connection.wire.write(data)
            connection.late.clear()
            if request.words[1] == HEALTH_PATH:
                fields = [("Instance-Id", self.settings.target_id)]
                await connection.wire.write(encode("HTTP/1.1 200 OK", fields))
                continue
            await self._answer(request, connection, nursery)
            connection.served += 1

    async def _answer(
        self, request: Message, connection: Connection, nursery: trio.Nursery
    ) -> None:
        name = request.fields["request-id"]
        left_s = float(request.fields["deadline-ms"]) / 1000
        if (
            request.fields.get("expect-instance", self.settings.target_id)
            != self.settings.target_id
        ):
            await self._refuse(HTTPStatus.MISDIRECTED_REQUEST, name, connection, nursery)
            return
        if self._waiting >= MOST_WAITING or self._befalls(TroubleKind.SHED):
            await self._refuse(HTTPStatus.SERVICE_UNAVAILABLE, name, connection, nursery)
            return
        deadline = trio.current_time() + left_s
        self._waiting += 1
        try:
            with trio.move_on_at(deadline) as waited:
                await self._slots.acquire()
        finally:
            self._waiting -= 1
        if waited.cancelled_caught:
            await self._refuse(HTTPStatus.SERVICE_UNAVAILABLE, name, connection, nursery)
            return
        try:
            self._note(BookEvent.RAN, name, 0, connection)
            await trio.sleep(self._draw_work_s())
        finally:
            self._slots.release()
        status = HTTPStatus.OK
        if trio.current_time() > deadline:
            status = HTTPStatus.GATEWAY_TIMEOUT
        await self._tell(status, name, connection, nursery)

    async def _tell(
        self, status: int, name: str, connection: Connection, nursery: trio.Nursery
    ) -> None:
        """Answer a request that has run, well or not."""
        failing = self._befalls(TroubleKind.FAIL)
        if failing is not None:
            self._note(BookEvent.FAILED, name, failing.status, connection)
            await connection.wire.write(self._encode(failing.status, name))
        elif self._befalls(TroubleKind.LOSE):
            self._note(BookEvent.LOST, name, 0, connection)
            raise trio.BrokenResourceError("the answer is lost")
        elif self._befalls(TroubleKind.RESET):
            self._note(BookEvent.LOST, name, 0, connection)
            connection.wire.reset()
            raise trio.BrokenResourceError("the answer is lost")
        elif self._befalls(TroubleKind.MUTE):
            self._note(BookEvent.LOST, name, 0, connection)
        elif self._befalls(TroubleKind.JUNK_INSTEAD):
            self._note(BookEvent.LOST, name, 0, connection)
            await connection.wire.write(draw_junk(self.rng))
            raise trio.BrokenResourceError("the answer is lost")
        elif self._befalls(TroubleKind.BREAK_OFF):
            self._note(BookEvent.LOST, name, 0, connection)
            answer = self._encode(status, name, body=b"half an answer")
            await connection.wire.write(answer[: self.rng.randrange(1, len(answer))])
            raise trio.BrokenResourceError("the answer is lost")
        else:
            self._note(BookEvent.ANSWERED, name, status, connection)
            body = f"answer to {name}".encode()
            answer = self._encode(status, name, body=body)
            await connection.wire.write(answer)
            self._draw_copy("answers", status, name, answer, connection, nursery)
            self._draw_junk(name, connection, nursery)

    async def _refuse(
        self, status: int, name: str, connection: Connection, nursery: trio.Nursery
    ) -> None:
        self._note(BookEvent.REFUSED, name, status, connection)
        answer = self._encode(status, name, refused=True)
        await connection.wire.write(answer)
        self._draw_copy("refusals", status, name, answer, connection, nursery)
        self._draw_junk(name, connection, nursery)

    def _draw_copy(
        self,
        group: str,
        status: int,
        name: str,
        answer: bytes,
        connection: Connection,
        nursery: trio.Nursery,
    ) -> None:
        """Have an answer sent a second time, where a trouble says so."""
        for kind in COPIES:
            trouble = self._active(kind)
            if trouble is None or trouble.only not in ("", group):
                continue
            if self.rng.random() >= trouble.share:
                continue
            if kind is TroubleKind.COPY_SOON:
                copied = (BookEvent.COPIED, name, status, answer)
                nursery.start_soon(self._send_soon, copied, connection)
                continue
            named = f"Request-Id: {name}\r\n".encode()
            is_unnamed = kind is TroubleKind.COPY_UNNAMED
            copy = answer.replace(named, b"") if is_unnamed else answer
            connection.late.append((BookEvent.COPIED, name, status, copy))

    def _draw_junk(self, name: str, connection: Connection, nursery: trio.Nursery) -> None:
        """Have bytes that are no answer sent behind one, where a trouble says so."""
        junk = (BookEvent.SPOILED, name, 0, draw_junk(self.rng))
        if self._befalls(TroubleKind.JUNK_LATE):
            connection.late.append(junk)
        if self._befalls(TroubleKind.JUNK_SOON):
            nursery.start_soon(self._send_soon, junk, connection)

    async def _send_soon(
        self, due: tuple[BookEvent, str, int, bytes], connection: Connection
    ) -> None:
        event, name, status, data = due
        await trio.sleep(self.rng.uniform(*COPY_DELAYS_S))
        self._note(event, name, status, connection)
        await connection.wire.write(data)

    def _encode(self, status: int, name: str, *, refused: bool = False, body: bytes = b"") -> bytes:
        running = SLOTS - self._slots.value
        fields: list[tuple[str, object]] = [
            ("Request-Id", name),
            ("Server-Load", f"{running},{self._waiting},{SLOTS}"),
        ]
        if refused:
            fields.append(("Not-Executed", 1))
        if status == HTTPStatus.OK:
            fields.append(("Response-Seal", f"s-{name}"))
        return encode(f"HTTP/1.1 {status} {HTTPStatus(status).phrase}", fields, body)

    def _draw_work_s(self) -> float:
        work_s = WORK_S * self.rng.uniform(1 - WORK_SPREAD, 1 + WORK_SPREAD)
        if self.rng.random() < TAIL_SHARE:
            work_s = min(work_s * TAIL_FACTOR, MOST_WORK_S)
        return work_s * SLOW_FACTOR if self._active(TroubleKind.SLOW) else work_s

    def _befalls(self, kind: TroubleKind) -> Trouble | None:
        """Draw whether a trouble strikes a request."""
        trouble = self._active(kind)
        return trouble if trouble is not None and self.rng.random() < trouble.share else None

    def _active(self, kind: TroubleKind) -> Trouble | None:
        since_s = time.monotonic() - self.began_at
        for trouble in self.settings.troubles:
            if trouble.kind is kind and 0 <= since_s - trouble.at_s < trouble.for_s:
                return trouble
        return None

    def _note(self, event: BookEvent, name: str, status: int, connection: Connection) -> None:
        line = BookLine(
            at=time.monotonic(),
            runner=self.settings.target_id,
            event=event,
            request=name,
            status=int(status),
            served_before=connection.served,
        )
        os.write(self._book, msgspec.json.encode(line) + b"\n")


def draw_junk(rng: random.Random) -> bytes:
    """Draw bytes that are no answer: of no meaning, or the first ones of some answer."""
    if rng.random() < MEANINGLESS_SHARE:
        return rng.choice((b"\r\n", b"\0", rng.randbytes(rng.randrange(1, 200))))
    status = rng.choice((HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.MISDIRECTED_REQUEST))
    fields: list[tuple[str, object]] = [
        ("Not-Executed", 1),
        ("Server-Load", f"{SLOTS},{MOST_WAITING},{SLOTS}"),
        ("Content-Type", "text/plain"),
        ("Retry-After", 0.4),
    ]
    rng.shuffle(fields)
    answer = encode(f"HTTP/1.1 {status} {status.phrase}", fields)
    return answer[: rng.randrange(1, len(answer))]


if __name__ == "__main__":
    given = msgspec.json.decode(sys.argv[1], type=RunnerSettings)
    trio.run(Runner(settings=given, rng=random.Random(given.seed)).run)
