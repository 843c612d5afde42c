"""Finds where a stream began that a caller takes up: here, at other VMs, in the store."""

from __future__ import annotations

import enum

import attrs
import trio

from lagoonlever.decisions.fleet.roles import Roles
from lagoonlever.decisions.fleet.update_routing import placement_hubs
from lagoonlever.decisions.streams.stream_origins import StreamOrigin
from lagoonlever.gateway.accepted import Accepted
from lagoonlever.gateway.beliefs import Beliefs
from lagoonlever.gateway.origin_records import OriginRecords
from lagoonlever.gateway.questions import Questions
from lagoonlever.gateway.version_record import VersionRecord
from lagoonlever.http.messages import Address
from lagoonlever.peers.interface import Bus
from lagoonlever.peers.messages_origins import OriginAsk, OriginTold
from lagoonlever.published import Published
from lagoonlever.timers import TimerService

STARTING_S = 0.3
"""How long a caller is held for the record of versions, which a start reads within 10 ms."""
ANSWER_S = 0.05
"""Another VM answers within some milliseconds; one that takes longer is starting, busy or gone."""
MAX_ASKED = 3
"""Every VM hears of all streams, or every hub; one may have just started."""
SETTLED_S = 1.0
"""After its start a VM has met the others, and been told what they know."""


class OriginSource(enum.Enum):
    """Who knew where a stream began."""

    THIS_VM = "this-vm"
    ONLY_VERSION = "only-version"
    """Nobody needs to know: its service had one version for as long as streams live."""
    OTHER_VM = "other-vm"
    STORE = "store"


@attrs.frozen(kw_only=True)
class FoundOrigin:
    """Where a stream began, and who knew it."""

    origin: StreamOrigin
    source: OriginSource


@attrs.define(kw_only=True, eq=False)
class OriginFinder:
    """Asks and answers; what it finds stays known to this VM."""

    _bus: Bus
    _beliefs: Beliefs
    _timers: TimerService
    _roles: Published[Roles | None]
    _vm: str
    """This VM's name."""
    _versions: VersionRecord
    _records: OriginRecords
    _questions: Questions = attrs.field(init=False)
    _started_at: float = attrs.field(factory=trio.current_time)

    @_questions.default
    def _make_questions(self) -> Questions:
        return Questions(bus=self._bus)

    @property
    def is_starting(self) -> bool:
        """Whether this VM may soon know more, as it has just started."""
        return self._timers.now - self._started_at < SETTLED_S

    async def run(self) -> None:
        """Answer other VMs, and take their answers, until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._questions.receive, OriginTold)
            nursery.start_soon(self._answer)

    async def find(self, accepted: Accepted) -> FoundOrigin | None:
        """Return where the stream began that a caller takes up, or None if nobody can tell."""
        with trio.move_on_after(STARTING_S):
            await self._versions.known.wait()
        request = accepted.caller.resumes
        found = self._known(request, OriginSource.THIS_VM)
        if found is not None:
            return found
        if request is not None:
            found = await self._ask_others(request)
            if found is not None:
                return found
        only = await self._confirmed_only_version(accepted)
        if only is not None or request is None:
            return only
        await self._records.read()
        return self._known(request, OriginSource.STORE)

    async def _confirmed_only_version(self, accepted: Accepted) -> FoundOrigin | None:
        """Return the one version of a route's service if the store's record says so now."""
        if self._only_version(accepted) is None or not await self._versions.confirm():
            return None
        return self._only_version(accepted)

    def _known(self, request: str | None, source: OriginSource) -> FoundOrigin | None:
        origin = self._beliefs.origin_of(request) if request is not None else None
        return FoundOrigin(origin=origin, source=source) if origin is not None else None

    def _only_version(self, accepted: Accepted) -> FoundOrigin | None:
        """Return the one version and service of a route, where nobody needs to tell."""
        service = self._only_service(accepted)
        version = self._beliefs.only_version(service) if service is not None else None
        if service is None or version is None:
            return None
        request = accepted.caller.resumes or accepted.request_id
        origin = StreamOrigin(request=request, service=service, version=version)
        return FoundOrigin(origin=origin, source=OriginSource.ONLY_VERSION)

    def _only_service(self, accepted: Accepted) -> str | None:
        """Return the service of a route, or None if it has several.

        A caller that does not name the beginning of its stream goes on where the last run of its
        question was. A service drawn by the route's weights would be a guess.
        """
        if len(accepted.route.services) == 1:
            return accepted.service
        if accepted.caller.resumes is not None:
            return None
        run = self._beliefs.book.find_unfinished_run_for(accepted.fingerprint)
        return run.service if run is not None else None

    async def _ask_others(self, request: str) -> FoundOrigin | None:
        def question(number: int) -> OriginAsk:
            return OriginAsk(number=number, reply_to=self._bus.address, request=request)

        for address in self._others():
            told = await self._questions.ask(address, question, OriginTold, timeout_s=ANSWER_S)
            if told is not None and told.origin is not None:
                self._beliefs.origins.record_all((told.origin,), self._timers.now)
                return self._known(request, OriginSource.OTHER_VM)
        return None

    def _others(self) -> tuple[Address, ...]:
        """Return the VMs to ask: the hubs where only they hear of all streams."""
        present = {s.life.name: s for s in self._beliefs.fellows.present(self._timers.now)}
        hubs = placement_hubs(self._roles.value, own=self._vm, present=len(present))
        names = [hub for hub in hubs if hub in present] or sorted(present)
        return tuple(present[name].bus for name in names[:MAX_ASKED])

    async def _answer(self) -> None:
        async for received in self._bus.subscribe(OriginAsk):
            asked = received.message
            told = OriginTold(number=asked.number, origin=self._beliefs.origin_of(asked.request))
            self._bus.send(asked.reply_to, told)
