"""What gateways tell each other: themselves, their runs, the engines they lost, what they know.

All of it is soft state that is said again; nothing may be needed for correctness.
"""

from __future__ import annotations

import enum
from typing import NamedTuple

import attrs

from lagoonlever.decisions.fleet.peer_table import PeerState
from lagoonlever.decisions.streams.engine_runs import EngineRun, RunCopy
from lagoonlever.decisions.streams.stream_origins import PROVEN, StreamOrigin, Writer
from lagoonlever.decisions.targets.listed_target import ListedTarget, TargetChange
from lagoonlever.decisions.targets.load_view import SLOWDOWN_DURATION_S
from lagoonlever.decisions.targets.reported_load import LoadReport, ReportedLoad
from lagoonlever.http.messages import Address
from lagoonlever.peers.messages import PEER
from lagoonlever.revisions import NOWHERE, Revision

PEER.message("gs")(PeerState)
PEER.message("gr")(EngineRun)


@attrs.frozen(kw_only=True)
class FellowDigest:
    """The VMs of a data centre that speak to one of its hubs, and the hub."""

    hub: str
    data_center: str
    heard: tuple[int, ...]
    """The random numbers of their lives."""
    news: tuple[PeerState, ...] = ()
    """States that changed since the last digest, and some of the others in turn."""


@PEER.message("gm")
@attrs.frozen(kw_only=True)
class FellowDigests:
    """A hub's own digest, and those of other hubs that it passes on.

    In one message, as each message costs its receiver a turn of its threads: at rest
    digests were nearly all that a VM of a large fleet got, 18 messages a second.
    """

    digests: tuple[FellowDigest, ...]


@PEER.message("gq")
@attrs.frozen(kw_only=True)
class FellowAsk:
    """Asks who is there, and which runs are open."""

    reply_to: Address


@PEER.message("gl")
@attrs.frozen(kw_only=True)
class FellowList:
    """VMs that the sender knows; they may be silent or gone."""

    fellows: tuple[PeerState, ...]


@PEER.message("gw")
@attrs.frozen(kw_only=True)
class RunList:
    """Open runs that the sender knows, of all VMs, and where streams began."""

    runs: tuple[EngineRun, ...]
    origins: tuple[StreamOrigin, ...] = ()
    """Of streams that broke off and may be taken up."""


class EngineWord(NamedTuple):
    """An engine's load in whole figures: an array on the wire, without the names of its fields."""

    running: int
    waiting: int
    slots: int
    slowness_pct: int
    """100 as usual."""
    age_ms: int

    @classmethod
    def of(cls, word: LoadReport | None, now: float) -> EngineWord | None:
        """Give what is passed on of a word: one that tells slowness, while it is fresh."""
        if word is None or word.load.slowness is None or now - word.at > SLOWDOWN_DURATION_S:
            return None
        return cls(
            running=round(word.load.running),
            waiting=round(word.load.waiting),
            slots=round(word.load.slots),
            slowness_pct=round(100 * word.load.slowness),
            age_ms=round(1000 * max(0.0, now - word.at)),
        )

    def word(self, run: EngineRun, now: float) -> LoadReport:
        """Give the word of a run's engine, by the clock of the VM that hears of it."""
        load = ReportedLoad(
            running=float(self.running),
            waiting=float(self.waiting),
            slots=float(self.slots),
            slowness=self.slowness_pct / 100,
        )
        return LoadReport(
            target=run.engine,
            load=load,
            at=now - max(0, self.age_ms) / 1000,
            started_ms=run.engine_started_ms,
        )


@PEER.message("gf")
@attrs.frozen(kw_only=True)
class RunFlows:
    """A run has given its first event."""

    request: str
    engine: str | None = None
    """The id of the engine that the run was sent to; None from a VM that does not tell it."""
    engine_started_ms: int | None = None
    """Start time of the engine's process, as known when the run was sent."""
    load: EngineWord | None = None
    """What its engine has just said, where it tells how slow its machine is."""
    writer: Writer = PROVEN
    """The process that wrote the event."""

    def is_of(self, run: EngineRun) -> bool:
        """Check whether it tells of a run, and not of another one of the same request."""
        return (self.engine, self.engine_started_ms) == (run.engine, run.engine_started_ms)


@PEER.message("gc")
@attrs.frozen(kw_only=True)
class RunCopied:
    """A run's memory was copied by a call."""

    request: str
    copy: RunCopy


@PEER.message("ge")
@attrs.frozen(kw_only=True)
class RunEnded:
    """A run is over; ``whole`` if its answer was given to its end."""

    request: str
    whole: bool
    token_s: float | None = None
    """What its engine took for a token, where enough of them were seen."""
    slowdown: float | None = None
    """How many times as long one took beside a prompt, where that was seen."""
    tokens: int = 0
    """Of the whole answer, also those that other engines made."""


@PEER.message("gx")
@attrs.frozen(kw_only=True)
class EngineLost:
    """An engine broke a stream or does not answer; streams on it are to be looked at."""

    engine: str
    replaced: bool = False
    """Another process answers at its address."""
    by: str | None = None
    """The id with which that other process answers."""
    started_ms: int | None = None
    """The start of the process that was replaced, in Unix milliseconds; None if not known."""


@PEER.message("gz")
@attrs.frozen(kw_only=True)
class TargetFound:
    """A process of the same service has the place of a target that is lost, and no entry."""

    former: str
    found: str


RunChange = EngineRun | RunFlows | RunCopied | RunEnded | EngineLost


class NewsStage(enum.Enum):
    """Who gets gathered news next."""

    GATHER = "gather"
    """From a VM to its hub, which tells all others."""
    PASS_ON = "pass-on"
    """From a hub to one of another data centre, which tells its own VMs."""
    TELL = "tell"
    """From a hub to the VMs of its data centre."""


@PEER.message("gb")
@attrs.frozen(kw_only=True)
class RunNews:
    """What became of runs and engines within a moment, on one VM or on many."""

    stage: NewsStage
    runs: tuple[EngineRun, ...] = ()
    flowing: tuple[RunFlows, ...] = ()
    copied: tuple[RunCopied, ...] = ()
    ended: tuple[RunEnded, ...] = ()
    lost: tuple[EngineLost, ...] = ()

    @property
    def changes(self) -> tuple[RunChange, ...]:
        """Every change, in an order in which they may be taken."""
        return (*self.runs, *self.flowing, *self.copied, *self.ended, *self.lost)


@PEER.message("gp")
@attrs.frozen(kw_only=True)
class PackedNews:
    """Gathered news of runs, packed: field names and ids of VMs repeat in each run."""

    value: bytes
    """A ``RunNews`` as a message of this registry, packed."""


@PEER.message("gn")
@attrs.frozen(kw_only=True)
class ConfigurationNews:
    """A configuration."""

    version: int
    value: bytes
    """As it is stored, packed."""


@PEER.message("gt")
@attrs.frozen(kw_only=True)
class TargetNews:
    """Changes of the list of targets between two revisions of the store."""

    changes: tuple[TargetChange, ...]
    after: Revision
    as_of: Revision


@PEER.message("go")
@attrs.frozen(kw_only=True)
class TargetListNews:
    """The whole list of targets, from a VM that has read it anew."""

    value: bytes
    """The targets as MessagePack, packed: ids of services and data centres repeat in each."""
    as_of: Revision


@PEER.message("ga")
@attrs.frozen(kw_only=True)
class KnowledgeAsk:
    """Asks for what the receiver knows better; the sender has these."""

    reply_to: Address
    configuration: int
    list_revision: Revision


@PEER.message("gk")
@attrs.frozen(kw_only=True)
class Knowledge:
    """What a VM knows better than the one that asked."""

    configuration: bytes | None = None
    """As it is stored, packed."""
    targets: tuple[ListedTarget, ...] | None = None
    list_revision: Revision = NOWHERE


__all__ = (
    "ConfigurationNews",
    "EngineLost",
    "EngineWord",
    "FellowAsk",
    "FellowDigest",
    "FellowDigests",
    "FellowList",
    "Knowledge",
    "KnowledgeAsk",
    "NewsStage",
    "PackedNews",
    "RunChange",
    "RunCopied",
    "RunEnded",
    "RunFlows",
    "RunList",
    "RunNews",
    "TargetFound",
    "TargetListNews",
    "TargetNews",
)
