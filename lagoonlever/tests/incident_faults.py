"""The faults of plays, drawn from a seed: those of the soak, as often as streams can bear them."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator

from lagoonlever.soak.plan import Fault, FaultKind, Track, draw_track

PATHS = (
    FaultKind.PATHS_REFUSED,
    FaultKind.PATHS_RESET,
    FaultKind.PATHS_SILENT,
    FaultKind.PATHS_ONE_WAY,
)
DATA_CENTERS = 3

_PATHS = Track(kinds=PATHS, every_s=(5.0, 9.0), for_s=(5.0, 9.0))
_LOSSES = Track(kinds=(FaultKind.ALL_KILL,), every_s=(7.0, 14.0), for_s=(0.3, 1.0))
_VMS = Track(
    kinds=(FaultKind.VM_KILL, FaultKind.VM_PAUSE, FaultKind.VM_STOP, FaultKind.VM_RELOAD),
    every_s=(2.0, 5.0),
    for_s=(0.3, 3.0),
)
_STORE = Track(
    kinds=(
        FaultKind.STORE_SILENT,
        FaultKind.STORE_REFUSES,
        FaultKind.STORE_LOSES,
        FaultKind.STORE_SLOW,
        FaultKind.STORE_FORGETS,
        FaultKind.STORE_CUT,
        FaultKind.STORE_RESTORED,
    ),
    every_s=(4.0, 9.0),
    for_s=(1.0, 4.0),
)
_ENGINES = Track(
    kinds=(
        FaultKind.ENGINE_CRASH,
        FaultKind.ENGINE_RETURNS,
        FaultKind.ENGINE_SILENT,
        FaultKind.ENGINE_RESET,
        FaultKind.ENGINE_ONE_WAY,
    ),
    every_s=(1.0, 3.0),
    for_s=(0.5, 2.0),
)
_VERSIONS = Track(
    kinds=(FaultKind.ENGINE_OTHER_VERSION, FaultKind.ENGINE_RETURNS_OTHER),
    every_s=(0.5, 2.0),
    for_s=(0.1, 0.8),
)
_RUNNERS = Track(
    kinds=(FaultKind.RUNNER_RESTS, FaultKind.RUNNER_BAD, FaultKind.RUNNER_RESET),
    every_s=(3.0, 8.0),
    for_s=(2.0, 4.0),
)


def _draw(*tracks: Track) -> Callable[[random.Random, float, int], Iterator[Fault]]:
    def draw(rng: random.Random, length_s: float, engines: int) -> Iterator[Fault]:
        for track in tracks:
            yield from draw_track(track, rng, length_s)

    return draw


def _draw_mixed(rng: random.Random, length_s: float, engines: int) -> Iterator[Fault]:
    """Yield all kinds, and engines of a data centre that crash together."""
    tracks = (_PATHS, _VMS, _STORE, _ENGINES, _VERSIONS, _RUNNERS)
    for track in rng.sample(tracks, rng.randint(3, len(tracks))):
        yield from draw_track(track, rng, length_s)
    if rng.random() < 0.5:
        yield from draw_track(_LOSSES, rng, length_s)
    at_s, place = rng.uniform(5.0, length_s / 2), rng.randrange(DATA_CENTERS)
    for number in range(place, engines, DATA_CENTERS):
        yield Fault(kind=FaultKind.ENGINE_CRASH, at_s=at_s, for_s=0.5, number=number)


PLAYS: dict[str, Callable[[random.Random, float, int], Iterator[Fault]]] = {
    "plain": _draw(),
    "paths": _draw(_PATHS),
    "losses": _draw(_LOSSES),
    "versions": _draw(_VERSIONS, _VMS, _STORE, _LOSSES),
    "mixed": _draw_mixed,
}


def draw_faults(play: str, seed: int, *, length_s: float, engines: int) -> tuple[Fault, ...]:
    """Draw the faults of a play, in the order of their times."""
    rng = random.Random(f"{seed}-{play}")
    faults = PLAYS[play](rng, length_s, engines)
    return tuple(sorted(faults, key=lambda fault: fault.at_s))
