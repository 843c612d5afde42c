"""Looks at whether an engine works on a stream that goes on at another one.

A stream is the work of one engine at a time. A VM that hands it on, though it reaches the former
engine, is to have that one end its run at once.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import trio

from lagoonlever.fakes.platform_engine import EngineRun, FakeEngine

if TYPE_CHECKING:
    from lagoonlever.soak.site import SoakSite, SoakVm

WORKS_ON_S = 0.4
"""A former run that goes on for longer beside the next one is a fault."""
POLL_S = 0.01
PROMISE = "one engine at a time"


@attrs.define(kw_only=True, eq=False)
class FormerRuns:
    """Watches the former runs of streams that go on; counts what became of them."""

    site: SoakSite

    def goes_on(self, request: str, engine: FakeEngine) -> None:
        """Record that an engine accepts a stream that may have a run elsewhere."""
        for other in self.site.engine_servers:
            run = other.runs.get(request)
            if run is not None and other is not engine:
                self.site.nursery.start_soon(self._watch, request, run, other, engine.target_id)

    async def _watch(self, request: str, run: EngineRun, former: FakeEngine, engine: str) -> None:
        """Wait for the end of a former run, and judge whether it may have lasted so long."""
        counts, began = self.site.judge.counts, trio.current_time()
        counts["streams that went on beside a former run"] += 1
        vm = self.site.taker(request)
        was_reached = True
        while trio.current_time() - began < WORKS_ON_S:
            if former.runs.get(request) is not run:
                return
            was_reached = was_reached and self._reaches(vm, former.target_id)
            await trio.sleep(POLL_S)
        reaches = self._reaches(vm, former.target_id)
        if vm is None or not reaches:
            counts["former runs that went on, not reached"] += 1
            return
        if not self.site.was_in_touch(vm, former.target_id, trio.current_time()):
            counts["former runs that went on, out of touch"] += 1
            return
        counts[f"former runs that went on, reached {'all' if was_reached else 'at the end'}"] += 1
        detail = f"{request} goes on at {engine} of {vm.name}, and {former.target_id} works on it"
        self.site.judge.break_promise(PROMISE, detail)

    def _reaches(self, vm: SoakVm | None, engine: str) -> bool:
        return vm is not None and self.site.reaches(vm, engine)
