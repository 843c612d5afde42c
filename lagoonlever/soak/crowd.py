"""Crowds of clients that don't behave, beside the faults of a soak; and what processes hold."""

from __future__ import annotations

import contextlib
import random
from pathlib import Path

import attrs
import trio

from lagoonlever.http.messages import Address
from lagoonlever.soak import crowd_clients as kinds
from lagoonlever.soak.crowd_clients import Crowd, Kind
from lagoonlever.soak.site import SoakSite, SoakVm

BODY_BYTES = 4 * 1024 * 1024
HEADER_BYTES = 16 * 1024
NOBODY = "nobody's"
"""A key that no organisation has."""
BESIDE = 2
"""Crowds at once."""
STAY_S = (0.5, 4.0)
PAUSE_S = (0.0, 1.0)
LOOK_S = 0.05
KB = 1024
MB = 1024 * KB

_KINDS: tuple[Kind, ...] = (
    kinds.unfinished_chunks(BODY_BYTES),
    kinds.unfinished_length(BODY_BYTES),
    kinds.far_over(BODY_BYTES),
    kinds.whole_bodies(BODY_BYTES),
    kinds.tiny_chunks(BODY_BYTES),
    kinds.unfinished_heads(HEADER_BYTES),
    kinds.silence,
)


@attrs.define(kw_only=True, eq=False)
class SoakCrowds:
    """Has crowds come to one VM after the other, and judges what each process holds."""

    _site: SoakSite
    _rng: random.Random
    _count: int
    """Clients of one crowd."""
    _judged: set[int] = attrs.field(factory=set)
    """Processes that were found to hold too much."""

    async def run(self) -> None:
        """Send crowds until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch)
            for _ in range(BESIDE):
                nursery.start_soon(self._send)

    async def _send(self) -> None:
        while True:
            await trio.sleep(self._rng.uniform(*PAUSE_S))
            address = self._rng.choice(self._addresses(self._rng.choice(self._site.vms)))
            # Of the calls that are whole none runs: the judge knows only those of its callers.
            crowd = Crowd(
                address=address, key=NOBODY, kind=self._rng.choice(_KINDS), count=self._count
            )
            with trio.move_on_after(self._rng.uniform(*STAY_S)):
                await crowd.run()

    def _addresses(self, vm: SoakVm) -> list[Address]:
        settings = vm.settings
        beside = (settings.readiness, settings.directory, settings.tunnel)
        return [settings.listen] * len(beside) + [each for each in beside if each is not None]

    async def _watch(self) -> None:
        while True:
            for vm in self._site.vms:
                self._judge(vm)
            await trio.sleep(LOOK_S)

    def _judge(self, vm: SoakVm) -> None:
        """Record a process that holds more than its machine has."""
        if vm.process is None or vm.process.poll() is not None:
            return
        if vm.process.pid in self._judged:
            return
        allowed = round(vm.settings.machine.memory_mb * MB)
        with contextlib.suppress(OSError, KeyError, IndexError):
            status = Path(f"/proc/{vm.process.pid}/status").read_text()
            fields = dict(line.split(":", 1) for line in status.splitlines() if ":" in line)
            peak = int(fields["VmHWM"].split()[0]) * KB
            if peak > allowed:
                self._judged.add(vm.process.pid)
                self._site.judge.break_promise(
                    "within its machine", f"{vm.name} has held {peak // MB} MB of {allowed // MB}"
                )
