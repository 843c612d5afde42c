"""Plays of parts that end engines, at the size of a small deployment, over real processes.

``python -m lagoonlever.tests.deadly_parts_plays PLAY`` runs one by hand. The gateways may run
another state of the code than the rest, so that one judge compares states.
"""

from __future__ import annotations

import argparse
import os
import sys
import tempfile
from collections.abc import Callable, Iterator
from pathlib import Path

import attrs
import trio

from lagoonlever.fakes.platform_engine import DeathStage
from lagoonlever.soak.deployments import LONG_STREAMS, MANY_ORGANISATIONS, TWO_KINDS, Shape
from lagoonlever.soak.plan import Fault, FaultKind, draw_plan
from lagoonlever.soak.run import SoakResult, SoakSize, run_soak

OWN_CODE = Path(__file__).parents[2]
GATEWAY = (sys.executable, "-P", "-m", "lagoonlever.soak.gateway")
"""Of the code that ``PYTHONPATH`` names, whatever the folder is that it is started in."""
SIZE = SoakSize(
    vms=9,
    engines=18,
    runners=3,
    callers=30,
    length_s=45.0,
    deadly_parts=4,
    parts_every_s=10.5,
    subjects=60,
)
"""A new part begins to end engines soon after the paths of some VMs were lost."""
PATHS = (
    FaultKind.PATHS_REFUSED,
    FaultKind.PATHS_RESET,
    FaultKind.PATHS_SILENT,
    FaultKind.PATHS_ONE_WAY,
)
DATA_CENTER = 9
"""Added to the number of one of nine VMs: all of its data centre lose their paths."""


def _paths_lost() -> Iterator[Fault]:
    """Most VMs lose their paths in each way in turn, for eight seconds."""
    for turn, kind in enumerate(PATHS):
        at_s = 10.5 * turn + (0.1 if turn == 0 else -1.0)
        for number in (DATA_CENTER, DATA_CENTER + 1):
            yield Fault(kind=kind, at_s=at_s, for_s=8.0, number=number)


def _all_lost() -> Iterator[Fault]:
    """All VMs are killed, and start knowing nothing but the store's record."""
    for at_s in (4.0, 6.0, 20.0, 32.0):
        yield Fault(kind=FaultKind.ALL_KILL, at_s=at_s, for_s=0.4, number=0)


PLAYS: dict[str, Callable[[], Iterator[Fault]]] = {
    "paths": _paths_lost,
    "losses": _all_lost,
    "plain": lambda: iter(()),
}


async def play(
    name: str,
    seed: int,
    *,
    code: Path,
    folder: Path,
    size: SoakSize,
    shape: Shape = MANY_ORGANISATIONS,
) -> SoakResult:
    """Play one by its name, or a drawn plan of all kinds of faults by the name ``drawn``."""
    os.environ["PYTHONPATH"] = str(code)
    drawn = name == "drawn"
    plan = draw_plan(seed, length_s=size.length_s) if drawn else tuple(PLAYS[name]())
    return await run_soak(
        seed,
        size=size,
        folder=folder,
        program=GATEWAY,
        plan=plan,
        deployment=TWO_KINDS,
        shape=shape,
    )


def main() -> int:
    """Play one by hand; return 1 if a promise was broken."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("play", choices=sorted((*PLAYS, "drawn")))
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--code", type=Path, default=OWN_CODE)
    parser.add_argument("--vms", type=int, default=SIZE.vms)
    parser.add_argument("--length", type=float, default=SIZE.length_s, help="in seconds")
    parser.add_argument(
        "--stage", type=DeathStage, default=SIZE.dies_at, help="of an answer at its engine's end"
    )
    parser.add_argument(
        "--back", type=float, default=SIZE.back_after_s, help="seconds until an engine is back"
    )
    parser.add_argument("--long", action="store_true", help="long prompts and streams")
    given = parser.parse_args()
    folder = Path(tempfile.mkdtemp(prefix="lagoonlever-deadly-"))
    size = attrs.evolve(
        SIZE,
        vms=given.vms,
        length_s=given.length,
        dies_at=given.stage,
        back_after_s=given.back,
    )
    shape = LONG_STREAMS if given.long else MANY_ORGANISATIONS

    async def run() -> SoakResult:
        return await play(
            given.play,
            given.seed,
            code=given.code,
            folder=folder,
            size=size,
            shape=shape,
        )

    result = trio.run(run)
    print(f"{given.play} {given.seed}: {result.counts}")
    print("\n".join(f"  {line}" for line in result.served))
    for violation in result.violations:
        print(f"  {violation}")
    print(f"  logs: {folder}")
    return 1 if result.violations else 0


if __name__ == "__main__":
    sys.exit(main())
