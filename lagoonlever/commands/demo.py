"""``lagoonlever demo``: the main job with no set-up, with an engine and a VM dying."""

from __future__ import annotations

import sys
from typing import Annotated

import attrs
import msgspec
import trio
import typer
from rich.console import Console
from rich.live import Live
from rich.table import Table

from lagoonlever.client.caller import Arrival
from lagoonlever.commands.exit_codes import ExitCode
from lagoonlever.fakes.demonstration import (
    LENGTH,
    PROMPTS,
    Demonstration,
    DemonstrationResult,
    Story,
)
from lagoonlever.logs import LogLevel, set_up_logs

SHOWN_CHARACTERS = 60
REFRESHES_PER_S = 8


def demo(
    json: Annotated[bool, typer.Option("--json", help="Print one JSON object only.")] = False,
) -> None:
    """Run generations on stand-ins while an engine dies, then an entry VM.

    Everything runs in this process on loopback. Exits with 1 unless every answer
    was whole.
    """
    set_up_logs(level=LogLevel.CRITICAL)
    result = _run_quietly() if json else _run_live()
    if json:
        sys.stdout.buffer.write(msgspec.json.encode(result) + b"\n")
    if not result.whole:
        raise typer.Exit(ExitCode.FAULTS)


def _run_quietly() -> DemonstrationResult:
    demonstration = Demonstration(note=lambda text: None, show=lambda *_: None)
    return trio.run(demonstration.run)


def _run_live() -> DemonstrationResult:
    console = Console()
    screen = _Screen(console=console)
    with Live(console=console, refresh_per_second=REFRESHES_PER_S, get_renderable=screen.table):
        demonstration = Demonstration(note=console.log, show=screen.show)
        result = trio.run(demonstration.run)
    _tell(console, result)
    return result


def _tell(console: Console, result: DemonstrationResult) -> None:
    latencies = ", ".join(f"{latency:.3f} s" for latency in result.resume_latency_s) or "none"
    console.print(f"every answer whole: {'yes' if result.whole else 'NO'} ({result.answers})")
    console.print(f"pauses that callers saw at a loss: {latencies}")
    console.print(f"engine work beyond a run without failures: {result.extra_work_ratio:.1%}")


@attrs.define(kw_only=True)
class _Screen:
    """The table of answers as they grow."""

    _console: Console
    _stories: dict[int, Story] = attrs.field(factory=dict)
    _vms: dict[int, str] = attrs.field(factory=dict)
    _texts: dict[int, str] = attrs.field(factory=dict)

    def show(self, number: int, story: Story, arrival: Arrival) -> None:
        """Take a piece of an answer."""
        self._stories[number] = story
        self._vms[number] = arrival.vm
        text = "" if arrival.restarted else self._texts.get(number, "")
        self._texts[number] = text + arrival.text

    def table(self) -> Table:
        """Give the table as of now."""
        table = Table("request", "from", "tokens", "the end of the answer so far", expand=True)
        for number, prompt in enumerate(PROMPTS):
            story = self._stories.get(number)
            tokens = f"{story.tokens if story else 0}/{LENGTH}"
            end = self._texts.get(number, "")[-SHOWN_CHARACTERS:].replace("\n", " ")
            table.add_row(prompt, self._vms.get(number, ""), tokens, end)
        return table
