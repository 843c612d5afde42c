"""What a request and an answer say beside their bytes, in the product's own terms."""

from __future__ import annotations

from http import HTTPStatus

import attrs

from lagoonlever.decisions.streams.engine_runs import RunCopy
from lagoonlever.decisions.targets.reported_load import ReportedLoad
from lagoonlever.http.messages import Address


@attrs.frozen(kw_only=True)
class PromptPart:
    """A part of a prompt that other requests may share; the last one is the request's own."""

    id: str
    tokens: int


@attrs.frozen(kw_only=True)
class GenerationAsk:
    """What a request for a stream asks of an engine; sizes in tokens."""

    model: str
    prompt_tokens: int
    output_tokens: int
    """At most; the answer may be shorter."""
    length_hint: int | None = None
    """How long the answer may become by the caller's guess."""
    parts: tuple[PromptPart, ...] = ()

    @property
    def expected_tokens(self) -> int:
        """How long the answer is likely to become at most."""
        return min(self.output_tokens, self.length_hint or self.output_tokens)

    @property
    def own_part(self) -> str | None:
        """The id of the part that only this request, or its session, has."""
        return self.parts[-1].id if self.parts else None

    @property
    def shared_parts(self) -> tuple[str, ...]:
        """The ids of the parts that other requests may have as well, in the order of the prompt."""
        return tuple(part.id for part in self.parts[:-1])


NO_ASK = GenerationAsk(model="", prompt_tokens=0, output_tokens=0)
"""Of a request that says nothing of what it asks for."""


@attrs.frozen(kw_only=True)
class CallerHead:
    """What the head of a caller's request says; ``deadline_s`` counts from its arrival."""

    request_id: str
    host: str
    api_key: str | None
    deadline_s: float | None
    last_event_id: int | None
    """The last event that the caller has got whole, if it goes on after a loss."""
    ask: GenerationAsk | None
    resumes: str | None = None
    """The id of the caller's attempt that brought the first event of the stream, where it names
    one."""


@attrs.frozen(kw_only=True)
class Hop:
    """What this system tells a target beside the caller's request."""

    target_id: str
    """Another process at the target's address refuses the request unread."""
    deadline_s: float
    organisation: str | None
    priority: int | None = None
    last_event_id: int | None = None
    copy_to: Address | None = None
    """The engine that is to hold a copy of the run's memory."""
    copy_from: RunCopy | None = None
    """The copy that the run goes on from."""


@attrs.frozen(kw_only=True)
class AnswerHead:
    """What the head of a target's answer says."""

    status: int
    request_id: str | None
    sealed: bool
    """A target has signed it; an answer without that is none of a target."""
    refused: bool
    """The target says that it has not run the request, and never will."""
    target_id: str | None
    """The process that answers, where it says so."""
    load: ReportedLoad | None
    idle_s: float | None
    """How long the target keeps the connection open, where it says so."""
    closes: bool
    """The connection ends with this answer."""
    limit_per_s: float | None = None
    """The requests a second that the target takes from all VMs together, where it names them."""
    tells_limit: bool = True
    """False where the field of the limit can't be read: whether there is one is unknown then."""
    brittle: int | None = None
    """The requests a second that the target may turn away before it falls over, where it is
    brittle and says so."""
    tells_brittle: bool = True
    """False where that field can't be read: whether the target is brittle is unknown then."""
    encoded: bool = False
    """Something on the way has encoded the body, so that it is not the target's."""
    leaves: bool = False
    """The target says that it leaves."""
    rest_s: float | None = None
    """How long the target wants nothing from this VM, where it says so."""
    unreadable: tuple[str, ...] = ()
    """What the target says of itself in fields that can't be read; such a field says nothing."""

    @property
    def is_own(self) -> bool:
        """Whether the answer is as its target gave it, as far as a head tells.

        A success counts only if it is signed, and no target encodes a body.
        """
        is_success = HTTPStatus.OK <= self.status < HTTPStatus.MULTIPLE_CHOICES
        return not self.encoded and (self.sealed or not is_success)

    def is_for(self, request_id: str, *, first: bool) -> bool:
        """Check whether the answer must belong to a request, its connection's ``first`` or not.

        A target names the request in its answers. A refusal may come without, as from a server
        that turns a request away before it reads its head. Where the connection has carried
        another request, that may as well be a late copy of the refusal of that one.
        """
        if self.request_id is None:
            return self.refused and first
        return self.request_id == request_id


@attrs.frozen(kw_only=True)
class RunReport:
    """One run as its engine reports it."""

    request_id: str
    tokens: int
    events: int


@attrs.frozen(kw_only=True)
class EngineReport:
    """What an engine says of itself, some hundred milliseconds old."""

    running: int
    waiting: int
    memory_used: int
    """Tokens that cannot yield."""
    memory_total: int
    started_ms: int | None = None
    """When its process started, by its own clock in Unix milliseconds."""
    leaves: bool = False
    leaves_in_s: float | None = None
    """Until it leaves, where it knows."""
    first_waiting: int | None = None
    """The tokens of the first request that waits."""
    runs: tuple[RunReport, ...] = ()

    def run(self, request_id: str) -> RunReport | None:
        """Return the run of a request, or None where the engine has none."""
        return next((run for run in self.runs if run.request_id == request_id), None)
