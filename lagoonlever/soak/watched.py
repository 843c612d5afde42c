"""The targets of a run, which tell the judge what they run."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from lagoonlever.fakes.platform_engine import DeathStage, FakeEngine
from lagoonlever.fakes.platform_runner import FakeRunner
from lagoonlever.fakes.target_room import TargetRoom
from lagoonlever.http.exchange import Exchange
from lagoonlever.http.messages import Headers
from lagoonlever.platform.headers import (
    EXPECTED_TARGET,
    LAST_EVENT_ID,
    PROMPT_PARTS,
    REQUEST_ID,
)
from lagoonlever.soak.deployments import SHORT_STREAMS, Shape
from lagoonlever.soak.judge import Judge
from lagoonlever.soak.needs import NeedWatch

if TYPE_CHECKING:
    from lagoonlever.soak.site import SoakSite


class WatchedRunner(FakeRunner):
    """A runner that tells the judge what it runs."""

    def __init__(self, *, target_id: str, judge: Judge, site: SoakSite) -> None:
        super().__init__(target_id=target_id, work_s=0.01)
        self._judge = judge
        self._site = site
        self.known_to_leave_at: float | None = None
        """When every VM had had the time to learn that it drains, and nothing was harmed."""
        self.is_bad = False
        """Whether it is of a bad version, whose answers never get better."""
        self._needs = NeedWatch(
            target=target_id,
            judge=judge,
            says=self.says,
            vms=lambda: len(site.vms),
            calm_since=site.vms_calm_since,
        )

    async def handle(self, exchange: Exchange) -> None:
        """Answer one request, and tell whether it ran."""
        request = exchange.request.headers.get(REQUEST_ID) or ""
        before, known_at = self.runs[request], self.known_to_leave_at
        turned_away = len(self.turned_away_at)
        self._needs.arrived(trio.current_time())
        try:
            await super().handle(exchange)
        finally:
            if len(self.turned_away_at) > turned_away:
                self._needs.turned_away(trio.current_time())
            has_run = self.runs[request] > before
            self._needs.says_now(trio.current_time(), refused=not has_run)
            if has_run:
                self._judge.ran(request, self.target_id, exchange.request.headers)
                self._tell_late(request, since=known_at)

    def _tell_late(self, request: str, *, since: float | None) -> None:
        """Record a request that arrived though all VMs knew that this runner drains."""
        if since is not None and all(vm.disturbed_at < since for vm in self._site.vms):
            detail = f"{request} reached {self.target_id}, which drains"
            self._judge.break_promise("leaving targets get no work", detail)


class WatchedEngine(FakeEngine):
    """An engine that tells the judge what it runs."""

    def __init__(
        self,
        *,
        target_id: str,
        fleet: dict[str, FakeEngine],
        judge: Judge,
        started_ms: int,
        pace: float,
        room: TargetRoom,
        version: str,
        site: SoakSite,
        shape: Shape = SHORT_STREAMS,
        dies_at: DeathStage = DeathStage.HEAD,
    ) -> None:
        super().__init__(
            target_id=target_id,
            version=version,
            fleet=fleet,
            prefill_tokens_per_s=shape.prefill_tokens_per_s / pace,
            event_s=shape.event_s * pace,
            started_ms=started_ms,
            deadly=site.deadly,
            die=lambda: site.engine_dies(target_id),
        )
        self.room = room
        self.dies_at = dies_at
        self._judge = judge
        self._site = site

    async def handle(self, exchange: Exchange) -> None:
        """Answer one request or question."""
        headers: Headers = exchange.request.headers
        request = headers.get(REQUEST_ID)
        if request is not None and headers.get(EXPECTED_TARGET) == self.target_id:
            self._judge.arrived(request, self.target_id, headers)
            self._tell_deadly(request, headers)
        await super().handle(exchange)

    def record_accepted(self, headers: Headers) -> None:
        """Record a request that runs here; one that the engine rejects has not run."""
        request = headers.get(REQUEST_ID)
        if request is not None:
            self._judge.ran(request, self.target_id, headers)
            if headers.get(LAST_EVENT_ID) is not None:
                self._site.former_runs.goes_on(request, self)

    def record_resumed_foreign(self, request: str, former: str) -> None:
        """Record a request that goes on from the memory of another one."""
        detail = f"{request} goes on at {self.target_id} from the memory of {former}"
        self._judge.break_promise("memory is its request's own", detail)

    def _tell_deadly(self, request: str, headers: Headers) -> None:
        entries = (headers.get(PROMPT_PARTS) or "").split(",")
        now = trio.current_time()
        for part in self._site.deadly.intersection(entry.partition(":")[0] for entry in entries):
            in_touch = self._site.was_sent_in_touch(request, self.target_id, now)
            self._judge.reached(part, now, in_touch=in_touch)
