"""What targets and callers have seen in one play, for the judges; times are in seconds."""

from __future__ import annotations

from pathlib import Path

import attrs
import msgspec


@attrs.define(kw_only=True, eq=False)
class Attempt:
    """One client attempt, with the id that it alone bears."""

    request: str
    job: str
    """The client's request that it belongs to, over all its tries."""
    kind: str
    service: str
    sent_at: float
    deadline_s: float
    max_attempts: int
    is_stream: bool = False
    vm: str = ""
    status: int = 0
    """0 where no final answer came."""
    reason: str = ""
    sound_targets: frozenset[str] = frozenset()
    """Those that ran it, and neither ended nor were cut off meanwhile."""


@attrs.define(kw_only=True, eq=False)
class Arrival:
    """A request that reached a target."""

    at: float
    request: str
    service: str
    target: str
    ran: bool = False
    """Whether the target began to work on it; one that rejects it has not."""
    deadline_s: float | None = None
    """What the target was told to be left."""
    in_touch: bool = True
    """Whether the VM that sent it was in touch."""
    deadly: frozenset[str] = frozenset()
    """The deadly prompts and parts that it holds."""


@attrs.frozen(kw_only=True)
class EngineEnd:
    """An engine that a deadly prompt or part has ended."""

    at: float
    target: str
    deadly: str
    requests: tuple[str, ...]


@attrs.frozen(kw_only=True)
class Rest:
    """A target that turned a request away and asked the VM that sent it for a rest."""

    at: float
    target: str
    vm: str
    rest_s: float


@attrs.frozen(kw_only=True)
class HeldEvent:
    """An event that a caller holds."""

    request: str
    """The client attempt that brought it."""
    number: int | None
    """Of its field; None if it has none."""
    part: str
    made: int
    """The number within its data."""
    version: str
    run: str
    """The run that made it."""
    begun_after: int
    """The event after which that run was asked to begin."""


@attrs.define(kw_only=True, eq=False)
class Job:
    """A client's request over all its tries."""

    id: str
    kind: str
    organisation: str
    asked_at: float
    subject: str | None = None
    part: str = ""
    expected: int = 0
    """The events of the whole stream."""
    is_deadly: bool = False
    left: bool = False
    """Whether its client went away by itself."""
    served: bool | None = None
    """Whether its client got it whole; None while it is under way."""
    ended_whole: bool = False
    """Whether an answer of its ended as complete."""
    events: list[HeldEvent] = attrs.field(factory=list)


@attrs.define(kw_only=True, eq=False)
class History:
    """All of it; ``shared`` are the deadly parts that different prompts share."""

    attempts: dict[str, Attempt] = attrs.field(factory=dict)
    """By the request's id."""
    jobs: list[Job] = attrs.field(factory=list)
    arrivals: list[Arrival] = attrs.field(factory=list)
    ends: list[EngineEnd] = attrs.field(factory=list)
    rests: list[Rest] = attrs.field(factory=list)
    disturbed: dict[str, list[float]] = attrs.field(factory=dict)
    """When each VM was harmed or started."""
    shared: frozenset[str] = frozenset()

    def write(self, folder: Path, *, clock: float) -> None:
        """Write one file of lines a list; ``clock`` is added to bring times to the wall's."""
        lists: dict[str, list[Attempt] | list[Arrival] | list[EngineEnd] | list[Job]] = {
            "attempts": list(self.attempts.values()),
            "arrivals": self.arrivals,
            "ends": self.ends,
            "jobs": self.jobs,
        }
        for name, records in lists.items():
            lines = [msgspec.json.encode(_plain(record, clock)) for record in records]
            (folder / f"{name}.jsonl").write_bytes(b"\n".join(lines))


def _plain(record: Attempt | Arrival | EngineEnd | Job, clock: float) -> dict[str, object]:
    fields = attrs.asdict(record, recurse=True)
    for name in ("at", "sent_at", "asked_at"):
        if name in fields:
            fields[name] += clock
    return fields
