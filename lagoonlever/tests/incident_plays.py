"""Plays of incidents at a sheet's shape, over real processes, judged by BUDGET, STARVED, ORDER.

``python -m lagoonlever.tests.incident_plays SHAPE --play PLAY`` runs one by hand. The gateways
may run another state of the code than the rest, so that one judge compares states.
"""

from __future__ import annotations

import argparse
import sys
import tempfile
from pathlib import Path

import trio

from lagoonlever.fakes.platform_engine import DeathStage
from lagoonlever.tests.incident_faults import PLAYS
from lagoonlever.tests.incident_run import PlayOrder, PlayResult, run_play
from lagoonlever.tests.incident_shapes import SHAPES

OWN_CODE = Path(__file__).parents[2]
MOST_SHOWN = 12
FAIR_S = 0.1
"""A request passes some six turns of the stand-ins' process, and half a second breaks a rule."""


def main() -> int:
    """Play one by hand; return 1 if one of the rules was broken."""
    order = _read_order()
    folder = Path(tempfile.mkdtemp(prefix="lagoonlever-incident-"))

    async def run() -> PlayResult:
        return await run_play(order, folder)

    result = trio.run(run)
    print(f"{order.shape} {order.play} {order.seed} of {order.code.name}: {result.counts}")
    print(f"  by VM: {result.by_vm}")
    for finding in result.findings[:MOST_SHOWN]:
        print(f"  {finding}")
    if len(result.findings) > MOST_SHOWN:
        print(f"  and {len(result.findings) - MOST_SHOWN} more")
    for violation in result.others[:MOST_SHOWN]:
        print(f"  another promise: {violation}")
    if len(result.others) > MOST_SHOWN:
        print(f"  and {len(result.others) - MOST_SHOWN} more of others")
    late = f"clock late by {result.clock_late_s:.2f} s at most"
    if result.clock_late_s > FAIR_S:
        late += f", beyond {FAIR_S} s: times and silences may be the stand-ins' own"
    print(f"  {late}; logs: {folder}")
    return 1 if result.findings else 0


def _read_order() -> PlayOrder:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("shape", choices=sorted(SHAPES))
    parser.add_argument("--play", choices=sorted(PLAYS), default="plain")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--code", type=Path, default=OWN_CODE)
    parser.add_argument(
        "--stage", type=DeathStage, choices=list(DeathStage), default=DeathStage.HEAD
    )
    parser.add_argument("--parts", type=int, default=0)
    parser.add_argument("--prompts", type=int, default=0)
    parser.add_argument("--share", type=float, default=1.0)
    parser.add_argument("--length", type=float, default=45.0)
    parser.add_argument("--leaves", type=float, default=0.0)
    given = parser.parse_args()
    return PlayOrder(
        shape=given.shape,
        play=given.play,
        seed=given.seed,
        code=given.code.resolve(),
        stage=given.stage,
        parts=given.parts,
        prompts=given.prompts,
        share=given.share,
        length_s=given.length,
        leaves=given.leaves,
    )


if __name__ == "__main__":
    sys.exit(main())
