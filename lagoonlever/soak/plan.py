"""What happens in one run of the soak, drawn from its seed.

Faults come in series and overlap: each track draws its own times, so that a VM may be
killed while another one stops and the store is away.
"""

from __future__ import annotations

import enum
import random
from collections.abc import Iterator

import attrs

QUIET_S = 2.0
"""At the start of a run, before the first fault: callers have begun by then."""


class FaultKind(enum.Enum):
    """What is done, from outside, to one of the parts."""

    VM_KILL = "vm-kill"
    """SIGKILL; started again after a while."""
    VM_PAUSE = "vm-pause"
    """SIGSTOP and later SIGCONT."""
    VM_STOP = "vm-stop"
    """SIGTERM, a planned stop; started again once it has ended."""
    VM_RELOAD = "vm-reload"
    """SIGHUP, with nothing changed."""
    ALL_KILL = "all-kill"
    """SIGKILL of every VM at once."""
    STORE_SILENT = "store-silent"
    """The store answers nobody."""
    STORE_REFUSES = "store-refuses"
    STORE_LOSES = "store-loses"
    """The store makes changes and loses its answers."""
    STORE_SLOW = "store-slow"
    STORE_FORGETS = "store-forgets"
    """The store drops its history."""
    STORE_RESTORED = "store-restored"
    """The store is away for a moment and comes back from a copy some seconds old."""
    STORE_CUT = "store-cut"
    """One VM does not reach the store, and the others do."""
    ENGINE_CRASH = "engine-crash"
    """An engine ends with its connections; another one starts at its address."""
    ENGINE_RETURNS = "engine-returns"
    """An engine ends with its connections, and starts again under its id before it is missed."""
    RUNNER_RETURNS = "runner-returns"
    ENGINE_SILENT = "engine-silent"
    """Everything to and from an engine is held up."""
    ENGINE_RESET = "engine-reset"
    """The open connections of an engine are reset."""
    ENGINE_ONE_WAY = "engine-one-way"
    """An engine gets requests, and its answers are held up."""
    ENGINE_SLOW_LINK = "engine-slow-link"
    RUNNER_RESET = "runner-reset"
    RUNNER_SILENT = "runner-silent"
    RUNNER_BAD = "runner-bad"
    """A runner fails, loses, cuts, crosses or spoils some answers."""
    RUNNER_LEAVES = "runner-leaves"
    """A runner drains and goes; a new one comes."""
    RUNNERS_LIMITED = "runners-limited"
    """All runners name a limit for a while."""
    RUNNER_RESTS = "runner-rests"
    """A runner turns every other call away for a while, and asks for rest."""
    RUNNER_SAYS_LEAVING = "runner-says-leaving"
    """A runner says in its answers that it leaves; the store tells it seconds later."""
    PATHS_SILENT = "paths-silent"
    """Some VMs lose their paths to all targets: what they send, and new connections, hang."""
    PATHS_ONE_WAY = "paths-one-way"
    """The same, but what they send on open connections arrives."""
    PATHS_RESET = "paths-reset"
    """Their connections are reset, and new ones are refused."""
    PATHS_REFUSED = "paths-refused"
    """Their connections live on, and new ones are refused."""
    RUNNERS_BRITTLE = "runners-brittle"
    """All runners say that they bear few refusals, and later let nobody wait."""
    ENGINE_OTHER_VERSION = "engine-other-version"
    """An engine ends with its connections; one of another version starts at its address."""
    ENGINE_RETURNS_OTHER = "engine-returns-other"
    """An engine ends with its connections, and starts again under its id as another version."""
    RUNNERS_SHED = "runners-shed"
    """Some runners turn most calls away, and send some of their answers twice."""
    NEW_VERSION = "new-version"
    """Operators order a version of the runners; every other one fails a part of its calls."""
    NEW_CONFIGURATION = "new-configuration"
    """Operators take a key away and add another one."""


@attrs.frozen(kw_only=True)
class Fault:
    """One fault; times in seconds from the start of the run."""

    kind: FaultKind
    at_s: float
    for_s: float
    number: int
    """Chooses which VM, engine or runner; taken modulo their count."""

    @property
    def until_s(self) -> float:
        """When it is over."""
        return self.at_s + self.for_s


@attrs.frozen(kw_only=True)
class Track:
    """Faults of a few kinds, one after the other; pauses and durations as ranges."""

    kinds: tuple[FaultKind, ...]
    every_s: tuple[float, float]
    for_s: tuple[float, float]


_TRACKS = (
    Track(
        kinds=(
            FaultKind.VM_KILL,
            FaultKind.VM_PAUSE,
            FaultKind.VM_STOP,
            FaultKind.VM_STOP,
            FaultKind.VM_RELOAD,
        ),
        every_s=(0.5, 3.0),
        for_s=(0.3, 2.5),
    ),
    Track(kinds=(FaultKind.ALL_KILL,), every_s=(6.0, 20.0), for_s=(0.2, 1.0)),
    Track(
        kinds=(
            FaultKind.STORE_SILENT,
            FaultKind.STORE_REFUSES,
            FaultKind.STORE_LOSES,
            FaultKind.STORE_SLOW,
            FaultKind.STORE_FORGETS,
            FaultKind.STORE_CUT,
        ),
        every_s=(1.0, 4.0),
        for_s=(0.5, 4.0),
    ),
    Track(
        kinds=(
            FaultKind.ENGINE_CRASH,
            FaultKind.ENGINE_SILENT,
            FaultKind.ENGINE_RESET,
            FaultKind.ENGINE_ONE_WAY,
            FaultKind.ENGINE_SLOW_LINK,
        ),
        every_s=(0.3, 1.5),
        for_s=(0.5, 2.0),
    ),
    Track(
        kinds=(
            FaultKind.RUNNER_RESET,
            FaultKind.RUNNER_SILENT,
            FaultKind.RUNNER_BAD,
            FaultKind.RUNNER_LEAVES,
        ),
        every_s=(0.5, 2.0),
        for_s=(0.3, 1.5),
    ),
    Track(kinds=(FaultKind.NEW_CONFIGURATION,), every_s=(1.0, 4.0), for_s=(0.0, 0.0)),
    Track(
        kinds=(FaultKind.ENGINE_RETURNS, FaultKind.ENGINE_RETURNS, FaultKind.RUNNER_RETURNS),
        every_s=(0.8, 3.0),
        for_s=(0.1, 0.8),
    ),
    Track(kinds=(FaultKind.STORE_RESTORED,), every_s=(1.0, 6.0), for_s=(0.2, 4.0)),
    Track(kinds=(FaultKind.NEW_VERSION,), every_s=(0.5, 4.0), for_s=(3.0, 7.0)),
    Track(
        kinds=(
            FaultKind.RUNNERS_LIMITED,
            FaultKind.RUNNER_RESTS,
            FaultKind.RUNNER_SAYS_LEAVING,
        ),
        every_s=(0.5, 4.0),
        for_s=(3.0, 9.0),
    ),
    Track(
        kinds=(
            FaultKind.PATHS_SILENT,
            FaultKind.PATHS_ONE_WAY,
            FaultKind.PATHS_RESET,
            FaultKind.PATHS_REFUSED,
        ),
        every_s=(1.0, 5.0),
        for_s=(1.0, 7.0),
    ),
    Track(kinds=(FaultKind.RUNNERS_BRITTLE,), every_s=(1.0, 6.0), for_s=(5.0, 9.0)),
    Track(
        kinds=(FaultKind.ENGINE_OTHER_VERSION, FaultKind.ENGINE_RETURNS_OTHER),
        every_s=(0.5, 2.5),
        for_s=(0.1, 0.8),
    ),
    Track(kinds=(FaultKind.RUNNERS_SHED,), every_s=(0.5, 3.0), for_s=(1.0, 4.0)),
)


def draw_plan(
    seed: int, *, length_s: float, without: frozenset[FaultKind] = frozenset()
) -> tuple[Fault, ...]:
    """Draw the faults of a run, in the order of their times.

    A seed that was drawn before some kinds were known is the same run ``without`` them.
    """
    faults: list[Fault] = []
    for number, track in enumerate(_TRACKS):
        rng = random.Random(f"{seed}-{number}")
        if rng.random() < 0.8:
            faults.extend(draw_track(track, rng, length_s))
    faults = [fault for fault in faults if fault.kind not in without]
    return tuple(sorted(faults, key=lambda fault: fault.at_s))


def draw_track(track: Track, rng: random.Random, length_s: float) -> Iterator[Fault]:
    """Draw the faults of one track for a run of this length."""
    at_s = QUIET_S
    while (at_s := at_s + rng.uniform(*track.every_s)) < length_s:
        yield Fault(
            kind=rng.choice(track.kinds),
            at_s=at_s,
            for_s=rng.uniform(*track.for_s),
            number=rng.randrange(1_000),
        )
