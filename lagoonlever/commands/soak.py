"""``lagoonlever soak``: plays randomized faults against real gateways, and checks the promises."""

from __future__ import annotations

import random
import tempfile
from pathlib import Path
from typing import Annotated

import trio
import typer

from lagoonlever.commands.exit_codes import ExitCode
from lagoonlever.soak.run import SoakResult, SoakSize, run_soak

SEED_BITS = 32


def soak(
    seeds: Annotated[
        list[int] | None, typer.Argument(help="Seeds to play; without any, fresh ones.")
    ] = None,
    runs: Annotated[int, typer.Option(min=1, help="How many fresh seeds.")] = 1,
    length_s: Annotated[float, typer.Option(min=5.0, help="Seconds of faults in a run.")] = 15.0,
    vms: Annotated[int, typer.Option(min=1, max=60, help="Gateways, each a process.")] = 4,
    callers: Annotated[int, typer.Option(min=1, max=100, help="Callers at once.")] = 8,
    deadly: Annotated[
        int, typer.Option(min=0, max=4, help="Prompts that end each engine that runs them.")
    ] = 1,
    deadly_parts: Annotated[
        int, typer.Option(min=0, max=4, help="Parts of prompts that end each engine.")
    ] = 1,
    crowd: Annotated[
        int, typer.Option(min=0, max=200, help="Clients that don't behave, in each crowd.")
    ] = 0,
    logs: Annotated[Path | None, typer.Option(help="Where the processes' logs are kept.")] = None,
) -> None:
    """Play faults against gateways on this machine, and check what callers and targets see.

    Prints a line for each run, and for each promise that was broken. The processes that it
    starts end with it. Exits with 1 if a promise was broken.
    """
    size = SoakSize(
        vms=vms,
        callers=callers,
        length_s=length_s,
        deadly=deadly,
        deadly_parts=deadly_parts,
        crowd=crowd,
    )
    chosen = seeds or [random.SystemRandom().getrandbits(SEED_BITS) for _ in range(runs)]
    broken = False
    for seed in chosen:
        folder = (logs or Path(tempfile.mkdtemp(prefix="lagoonlever-soak-"))) / str(seed)
        folder.mkdir(parents=True, exist_ok=True)
        result = trio.run(_play, seed, size, folder)
        _print(result, folder)
        broken = broken or bool(result.violations)
    if broken:
        raise typer.Exit(ExitCode.FAULTS)


async def _play(seed: int, size: SoakSize, folder: Path) -> SoakResult:
    return await run_soak(seed, size=size, folder=folder)


def _print(result: SoakResult, folder: Path) -> None:
    counts = ", ".join(f"{name}: {count}" for name, count in result.counts.items())
    verdict = "broken" if result.violations else "kept"
    typer.echo(f"seed {result.seed}: {verdict}; {len(result.faults)} faults; {counts}")
    typer.echo(f"  {result.deployment}")
    for violation in result.violations:
        typer.echo(f"  {violation}")
    if result.violations:
        typer.echo(f"  logs: {folder}")
