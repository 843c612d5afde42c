"""The callers of a run: each keeps its connection while it can, and comes back by the rules."""

from __future__ import annotations

import contextlib
import random
from collections.abc import Iterator

import attrs
import msgspec
import trio

from lagoonlever.exceptions import BadResponse, PeerError
from lagoonlever.http.client import ClientConnection, Response, fetch
from lagoonlever.http.messages import Address, Headers
from lagoonlever.http.sse import RawEventSplitter
from lagoonlever.outcomes import NOT_RUN_STATUSES, REASON_HEADER, RETRY_AFTER_HEADER, Reason
from lagoonlever.platform.documents import (
    caller_headers,
    prompt_fields,
    read_addresses,
    resolve_path,
)
from lagoonlever.soak.deployments import HOST, ORGANISATION, PATIENT_ORGANISATION, key_of
from lagoonlever.soak.judge import OK, Judge
from lagoonlever.soak.served import CLOSED, OUT_OF_TIME, Asked, Refusal, reason_of
from lagoonlever.soak.site import SoakSite, SoakVm

CALL_DEADLINE_S = 2.0
EVENT_TOKENS = 8
UNSERVED = (502, 503, 504)
RETRIES = 3
PAUSE_S = 0.05
LEAVES = 0.08
FIRST_OTHER = 500
"""The number of the first caller that sends no mixed work: those of one deadly prompt must be of
one organisation, as the prompt is another request for each."""
FIRST_SHARING = 600
"""The number of the first caller whose requests share a deadly part."""
ENDS_WITH_S = 0.3
"""From the cut of a connection until its VM's process is seen to have ended, if that cut it."""
DEADLY_PAUSE_S = (0.05, 0.5)
"""Between two returns of a caller whose prompt ends engines."""


@attrs.define(kw_only=True, eq=False)
class SoakCaller:
    """One caller; sends requests one after the other until cancelled."""

    number: int
    site: SoakSite
    judge: Judge
    rng: random.Random
    subjects: int = 0
    """How many parts there are of which each prompt has one; none for the one that all share."""
    leaves: float = LEAVES
    """The part of its streams that it leaves midway."""
    _connection: ClientConnection | None = None
    _addresses: tuple[Address, ...] = ()
    _began: str | None = None
    """The request that brought the first event of the stream that is being read."""
    _told_pause_s: float = 0.0
    """When to come back, by the last answer."""
    _ids: Iterator[int] = attrs.field(factory=lambda: iter(range(1_000_000)))

    @property
    def is_patient(self) -> bool:
        """Whether this caller belongs to the organisation with a rank of its own."""
        is_usual = self.number < FIRST_OTHER
        return is_usual and self.site.deployment.has_patient and self.number % 2 == 1

    @property
    def _tries(self) -> int:
        traffic = self.site.shape.traffic
        return RETRIES if traffic is None else traffic.tries

    @property
    def _pause_s(self) -> float:
        """How long this caller waits before it comes back with the same request."""
        return PAUSE_S if self.site.shape.traffic is None else self._told_pause_s or PAUSE_S

    async def run(self) -> None:
        """Send bids, lookups and streams."""
        while True:
            kind = self.rng.choice(("bid", "look", "stream", "stream"))
            if kind == "stream":
                await self.stream()
            else:
                await self.call(kind)
            await trio.sleep(self.rng.uniform(0.0, PAUSE_S))

    async def run_deadly(self, part: str) -> None:
        """Send the prompt that ends each engine, again and again, until cancelled."""
        while True:
            route = self.site.deployment.stream_routes[0]
            self._began = None
            await self._stream_once(route, part, self.site.shape.events[1], 0, None)
            await self._drop()
            await trio.sleep(self.rng.uniform(*DEADLY_PAUSE_S))

    async def run_deadly_part(self, part: str, after_s: float = 0.0) -> None:
        """Send requests that share a part which ends each engine, no two alike, until cancelled."""
        await trio.sleep(after_s)
        while True:
            route = self.site.deployment.stream_routes[0]
            own = f"{self.rng.getrandbits(64):016x}"
            self._began = None
            shared = (*self._shared_parts(own), part)
            await self._stream_once(route, own, self.site.shape.events[1], 0, None, shared=shared)
            await self._drop()
            await trio.sleep(self.rng.uniform(*DEADLY_PAUSE_S))

    @property
    def organisation(self) -> str:
        """Whose key this caller has."""
        if self.is_patient:
            return PATIENT_ORGANISATION
        if self.number >= FIRST_OTHER:
            return ORGANISATION
        return self.site.shape.organisation_of(self.number)

    async def send_one(self, kind: str) -> None:
        """Send one request of a kind, and come back as the rules allow."""
        if kind in self.site.deployment.stream_routes:
            await self.stream(kind)
        else:
            await self.call(kind)

    async def call(self, kind: str) -> int:
        """Send a bid or a lookup, again as the rules allow; gives the last status."""
        status = await self._call(kind)
        asked = Asked(kind=kind, organisation=self.organisation)
        self.judge.served.record(asked, trio.current_time(), whole=status == OK)
        return status

    async def _call(self, kind: str) -> int:
        status = 0
        for _ in range(self._tries):
            request = self._new_id(kind)
            if kind == "bid":
                self.judge.runs_once(request)
            status = await self._call_once(kind, request)
            self.judge.answered(kind, request, status)
            again = status in NOT_RUN_STATUSES or (kind == "look" and status != OK)
            if not again or status in (401, 404):
                return status
            await trio.sleep(self._pause_s)
        return status

    async def stream(self, route: str | None = None) -> bool:
        """Read a stream to its end, coming back after breaks; gives whether it was whole."""
        part = f"{self.rng.getrandbits(64):016x}"
        route = route or self.rng.choice(self.site.deployment.stream_routes)
        events = self.rng.randint(*self.site.shape.events)
        leave_at = self.rng.randint(1, events) if self.rng.random() < self.leaves else None
        told = 0
        whole = False
        self._began = None
        with trio.move_on_after(self.site.shape.stream_timeout_s) as scope:
            for _ in range(self._tries):
                told, whole = await self._stream_once(route, part, events, told, leave_at)
                if whole:
                    break
                if leave_at is not None and told >= leave_at:
                    await self._ask_on(route, part, events)
                    return False
                await trio.sleep(self._pause_s)
        asked = self._asked(route, part)
        if scope.cancelled_caught:
            self._refused(asked, OUT_OF_TIME)
        self.judge.served.record(asked, trio.current_time(), whole=whole)
        return whole

    def _asked(self, route: str, part: str) -> Asked:
        return Asked(
            kind=route,
            organisation=self.organisation,
            rank="patient" if self.is_patient else route,
            subject=self._shared_parts(part)[-1],
        )

    def _shared_parts(self, part: str) -> tuple[str, ...]:
        """Return what a prompt shares with others: by its own part, so that it comes back alike."""
        if not self.subjects:
            return ("shared",)
        return (f"subject-{random.Random(part).randrange(self.subjects)}",)

    async def _ask_on(self, route: str, part: str, events: int) -> None:
        """Ask the next question of a session whose former answer was left midway."""
        self._began = None
        await self._stream_once(route, part, events, 0, None, turn=2)

    async def _call_once(self, kind: str, request: str) -> int:
        asked = Asked(kind=kind, organisation=self.organisation)
        headers = self._headers(request, CALL_DEADLINE_S)
        sent_at = trio.current_time()
        try:
            with trio.fail_after(CALL_DEADLINE_S + 1.0):
                response = await self._exchange(f"/{kind}/{request}", headers)
        except (PeerError, trio.TooSlowError):
            # The connection ended, or nothing came: the caller knows nothing of its call.
            self._told_pause_s = 0.0
            self._refused(asked, CLOSED)
            await self._check_cut(request, sent_at)
            await self._drop()
            return 0
        self._told_pause_s = _retry_after_s(response.headers)
        if response.status != OK:
            self._refused(asked, _told(response))
        self.judge.called(request, response.status, response.headers, response.body)
        self.judge.refused(request, response.headers.get(REASON_HEADER))
        if response.status in UNSERVED and self._connection is not None:
            vm = self._connection.address
            if self.site.must_be_served(vm, sent_at):
                detail = f"{request} got {response.status} of {vm}, which has no paths"
                self.judge.break_promise("VMs without paths serve", detail)
        return response.status

    async def _stream_once(
        self,
        route: str,
        part: str,
        events: int,
        told: int,
        leave_at: int | None,
        *,
        shared: tuple[str, ...] = (),
        turn: int = 1,
    ) -> tuple[int, bool]:
        request = self._new_id("stream")
        shared = shared or self._shared_parts(part)
        is_sound = self.site.deadly.isdisjoint((*shared, part))
        if not told:
            self.judge.begins(part)
        else:
            self.judge.counts["streams taken up"] += 1
        more = prompt_fields(
            part,
            prompt_tokens=random.Random(f"{part}-size").randint(*self.site.shape.prompt_tokens),
            output_tokens=events * EVENT_TOKENS,
            last_event_id=told or None,
            resumes=self._began,
            shared=shared,
        )
        headers = self._headers(request, self.site.shape.stream_timeout_s, more)
        splitter = RawEventSplitter()
        sent_at = trio.current_time()
        try:
            connection = await self._connect()
            self.site.record_taker(request, connection.address)
            path = f"/{route}/{turn}"
            await connection.start(
                method="POST", path=path, headers=headers, body=part.encode(), step="soak"
            )
            head = await connection.read_head()
            self._told_pause_s = _retry_after_s(head.headers)
            body = b""
            while (piece := await connection.next_piece()) is not None:
                if head.status != OK:
                    body += piece
                    continue
                for event in splitter.feed(piece):
                    told += 1
                    self._began = self._began or request
                    self.judge.event(part, told, event.data)
                if leave_at is not None and told >= leave_at:
                    await self._drop()
                    return told, False
        except PeerError:
            # The stream broke off; the caller comes back with what it has.
            self._told_pause_s = 0.0
            if is_sound:
                self._refused(
                    self._asked(route, part), f"{CLOSED} after events" if told else CLOSED
                )
            await self._check_cut(request, sent_at)
            await self._drop()
            self.judge.answered("stream", request, 0)
            return told, False
        self.judge.answered("stream", request, head.status)
        if head.headers.get(REASON_HEADER) == Reason.CANNOT_RESUME.value:
            self.judge.counts["streams not taken up"] += 1
        if is_sound:
            self.judge.refused(request, head.headers.get(REASON_HEADER))
            if head.status != OK:
                self._refused(self._asked(route, part), _told(attrs.evolve(head, body=body)))
        if head.status == OK:
            self.judge.stream_ended(part, told, events)
        return told, head.status == OK

    def _refused(self, asked: Asked, reason: str) -> None:
        """Record a try that got no whole answer, and the VM that it was at."""
        vm = self.site.name_at(self._connection.address) if self._connection else "no VM"
        self.judge.served.refuse(Refusal(asked=asked, vm=vm, reason=reason))

    async def _check_cut(self, request: str, sent_at: float) -> None:
        """Check that no planned stop broke off a request that ran and came late."""
        if self._connection is None or not self.judge.has_run(request):
            return
        vm, cut_at = self._connection.address, trio.current_time()
        if not self.site.must_not_cut(vm, sent_at):
            return
        await trio.sleep(ENDS_WITH_S)
        if self.site.has_ended(vm, cut_at, within_s=ENDS_WITH_S):
            self.judge.break_promise("a stop cuts nothing late", f"{request} was cut by {vm}")

    async def _exchange(self, path: str, headers: Headers) -> Response:
        connection = await self._connect()
        await connection.start(method="POST", path=path, headers=headers, step="soak")
        head = await connection.read_head()
        body = b"".join([piece async for piece in connection.iter_body()])
        if "close" in (head.headers.get("Connection") or ""):
            await self._drop()
        return attrs.evolve(head, body=body)

    async def _connect(self) -> ClientConnection:
        """Return the kept connection, or a new one to an address from the directory."""
        if self._connection is not None and self._connection.reusable and self._connection.quiet:
            return self._connection
        await self._drop()
        address = await self._ask_address()
        self._connection = await ClientConnection.open(address, timeout_s=1.0)
        return self._connection

    async def _ask_address(self) -> Address:
        for vm in self.rng.sample(self.site.vms, len(self.site.vms)):
            found = await self._ask_directory(vm)
            if found:
                self._addresses = found
                break
        if not self._addresses:
            raise BadResponse("no VM tells an address", step="soak", peer="directory")
        return self.rng.choice(self._addresses)

    async def _ask_directory(self, vm: SoakVm) -> tuple[Address, ...]:
        directory = vm.settings.directory
        assert directory is not None
        path = resolve_path(HOST, data_center=vm.settings.data_center)
        try:
            answer = await fetch(directory, path=path, step="resolve", timeout_s=0.5)
            return read_addresses(answer.body) if answer.status == OK else ()
        except (PeerError, msgspec.MsgspecError, ValueError):
            # This VM is away or does not take callers yet; the next one is asked.
            return ()

    async def _drop(self) -> None:
        connection, self._connection = self._connection, None
        if connection is not None:
            await connection.aclose()

    def _headers(
        self, request: str, deadline_s: float, more: list[tuple[str, str]] | None = None
    ) -> Headers:
        organisation = self.organisation
        self.judge.sends_for(request, organisation)
        return caller_headers(
            request_id=request,
            host=HOST,
            key=self.site.keys[1] if organisation == ORGANISATION else key_of(organisation),
            deadline_s=deadline_s,
            more=more or (),
        )

    def _new_id(self, kind: str) -> str:
        return f"{kind}-{self.number}-{next(self._ids)}"


def _retry_after_s(headers: Headers) -> float:
    return float(headers.get(RETRY_AFTER_HEADER) or 0.0)


def _told(answer: Response) -> str:
    """Return why an answer is not the one that was asked for."""
    message = ""
    with contextlib.suppress(msgspec.MsgspecError):
        message = msgspec.json.decode(answer.body, type=_Refused).error.message
    return reason_of(answer.status, answer.headers.get(REASON_HEADER), message)


class _Error(msgspec.Struct):
    message: str


class _Refused(msgspec.Struct):
    error: _Error
