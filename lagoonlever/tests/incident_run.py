"""One play: starts a deployment of a sheet's shape, harms it, and judges what was seen."""

from __future__ import annotations

import itertools
import os
import random
import sys
import time
from collections import Counter
from pathlib import Path

import attrs
import msgspec
import trio

from lagoonlever.fakes.platform_engine import DeathStage
from lagoonlever.soak.deployments import ORGANISATION
from lagoonlever.soak.faults import FaultActions
from lagoonlever.soak.judge import Judge, Violation
from lagoonlever.soak.run import wait_ready, watch_processes
from lagoonlever.tests.incident_budget import Finding, late_by_cause, most_repeats
from lagoonlever.tests.incident_callers import (
    IncidentCaller,
    Prompt,
    arrivals,
    draw_organisation,
    draw_prompt,
)
from lagoonlever.tests.incident_faults import draw_faults
from lagoonlever.tests.incident_history import History, Job
from lagoonlever.tests.incident_judges import (
    judge_all,
    owed,
    served_by,
    streams_of_two_versions,
)
from lagoonlever.tests.incident_shapes import SHAPES, RequestKind, ShapedDeployment
from lagoonlever.tests.incident_site import IncidentSite

GATEWAY = (sys.executable, "-P", "-m", "lagoonlever.soak.gateway")
"""Of the code that ``PYTHONPATH`` names, whatever the folder is that it is started in."""
START_S = 20.0
ENDS_WITHIN_S = 12.0
"""After the last arrival: streams that are under way then may end."""
DEADLY_PER_S = 2.0
"""Requests with each deadly part or prompt."""
PARTS_EVERY_S = 8.0
"""From the first request with a deadly part until the first one with the next."""
FIRST_PART_S = 3.0
LOOK_S = 0.05


@attrs.frozen(kw_only=True)
class PlayOrder:
    """What is played."""

    shape: str
    play: str
    seed: int
    code: Path
    stage: DeathStage = DeathStage.HEAD
    parts: int = 0
    prompts: int = 0
    """Prompts that end engines as a whole, each sent again and again."""
    share: float = 1.0
    """Of the sheet's rates."""
    length_s: float = 45.0
    leaves: float = 0.0
    """The share of streams whose clients leave midway."""


@attrs.frozen(kw_only=True)
class PlayResult:
    """What a play came to."""

    counts: dict[str, int]
    findings: tuple[Finding, ...]
    others: tuple[Violation, ...]
    """Other promises that were broken."""
    by_vm: dict[str, tuple[int, int]]
    """Client attempts that were answered with success, and all."""
    clock_late_s: float
    """The latest that this process came to a moment: beyond a second it is no fair judge."""


@attrs.define(kw_only=True, eq=False)
class Play:
    """The callers of one play."""

    order: PlayOrder
    site: IncidentSite
    nursery: trio.Nursery
    begun: float
    clock_late_s: float = 0.0
    late_by_second: dict[int, float] = attrs.field(factory=dict)
    _idle: list[IncidentCaller] = attrs.field(factory=list)
    _callers: itertools.count[int] = attrs.field(factory=itertools.count)
    _jobs: itertools.count[int] = attrs.field(factory=itertools.count)

    async def watch_clock(self) -> None:
        """Measure how late this process comes to a moment."""
        while True:
            at = trio.current_time() + LOOK_S
            await trio.sleep_until(at)
            late_s = trio.current_time() - at
            self.clock_late_s = max(self.clock_late_s, late_s)
            self.late_by_second[int(at - self.begun)] = max(
                self.late_by_second.get(int(at - self.begun), 0.0), late_s
            )

    async def send_kind(self, kind: RequestKind, begun: float) -> None:
        """Send the requests of a kind as they arrive."""
        rng = random.Random(f"{self.order.seed}-{kind.name}")
        rate = kind.rate_per_s * self.order.share
        for at_s in arrivals(rate, self.order.length_s, rng):
            prompt = draw_prompt(self.site.sheet, kind, rng) if kind.is_stream else None
            organisation = draw_organisation(rng)
            left = prompt is not None and rng.random() < self.order.leaves
            await trio.sleep_until(begun + at_s)
            job = self._new_job(kind, organisation, prompt)
            job.left = left
            self.nursery.start_soon(self._play_job, kind, job, prompt)

    async def send_deadly(self, cause: str, begun: float, after_s: float) -> None:
        """Send requests that end engines as they arrive: no two alike, or one all the time."""
        rng = random.Random(f"{self.order.seed}-{cause}")
        kind = rng.choice(self.site.sheet.stream_kinds())
        whole = draw_prompt(self.site.sheet, kind, rng)
        is_part = cause in self.site.history.shared
        organisation = draw_organisation(rng)
        length_s = max(0.0, self.order.length_s - after_s)
        for at_s in arrivals(DEADLY_PER_S, length_s, rng):
            own = draw_prompt(self.site.sheet, kind, rng)
            if is_part:
                prompt = attrs.evolve(own, shared=(*own.shared, (cause, 100)))
                organisation = draw_organisation(rng)
            else:
                prompt = attrs.evolve(whole, part=cause)
            await trio.sleep_until(begun + after_s + at_s)
            job = self._new_job(kind, organisation, prompt)
            job.is_deadly = True
            self.nursery.start_soon(self._play_job, kind, job, prompt)

    def _new_job(self, kind: RequestKind, organisation: str, prompt: Prompt | None) -> Job:
        return Job(
            id=f"job-{next(self._jobs)}",
            kind=kind.name,
            organisation=organisation,
            asked_at=trio.current_time(),
            subject=prompt.subject if prompt is not None else None,
            part=prompt.part if prompt is not None else "",
            expected=prompt.events if prompt is not None else 0,
        )

    async def _play_job(self, kind: RequestKind, job: Job, prompt: Prompt | None) -> None:
        caller = self._idle.pop() if self._idle else self._new_caller()
        await caller.play(kind, job, prompt)
        self._idle.append(caller)

    def _new_caller(self) -> IncidentCaller:
        number = next(self._callers)
        rng = random.Random(f"{self.order.seed}-caller-{number}")
        return IncidentCaller(number=number, site=self.site, judge=self.site.judge, rng=rng)


async def run_play(order: PlayOrder, folder: Path) -> PlayResult:
    """Play what is ordered; logs of the processes and the history go to ``folder``."""
    os.environ["PYTHONPATH"] = str(order.code)
    shape, judge = SHAPES[order.shape], Judge(organisation=ORGANISATION)
    parts = [f"deadly-part-{number}" for number in range(order.parts)]
    history = History(shared=frozenset(parts))
    clock = time.time() - trio.current_time()
    async with trio.open_nursery() as nursery:
        site = IncidentSite(
            nursery=nursery,
            judge=judge,
            folder=folder,
            rng=random.Random(f"{order.seed}-site"),
            program=GATEWAY,
            deployment=ShapedDeployment(shape=shape),
            sheet=shape,
            stage=order.stage,
            history=history,
        )
        try:
            await site.start(vms=shape.vms, engines=shape.engines, runners=shape.runners)
            await wait_ready(site, START_S, "start")
            clock_late_s = await _play(site, order, parts)
        finally:
            site.kill_all()
        nursery.cancel_scope.cancel()
    history.write(folder, clock=clock)
    return PlayResult(
        counts=_count(history, judge),
        findings=judge_all(history),
        others=tuple(judge.violations),
        by_vm=served_by_vm(history),
        clock_late_s=clock_late_s,
    )


async def _play(site: IncidentSite, order: PlayOrder, parts: list[str]) -> float:
    prompts = [f"deadly-{number}" for number in range(order.prompts)]
    site.deadly.update(parts, prompts)
    actions = FaultActions(site=site)
    begun = trio.current_time()
    async with trio.open_nursery() as watching, trio.open_nursery() as sending:
        play = Play(order=order, site=site, nursery=sending, begun=begun)
        watching.start_soon(play.watch_clock)
        watching.start_soon(watch_processes, site)
        for kind in site.sheet.kinds:
            sending.start_soon(play.send_kind, kind, begun)
        for turn, cause in enumerate((*parts, *prompts)):
            sending.start_soon(play.send_deadly, cause, begun, FIRST_PART_S + PARTS_EVERY_S * turn)
        for fault in draw_faults(
            order.play, order.seed, length_s=order.length_s, engines=site.sheet.engines
        ):
            await trio.sleep_until(begun + fault.at_s)
            watching.start_soon(actions.carry_out, fault)
        await trio.sleep_until(begun + order.length_s)
        await _wait_ended(site.history, begun + order.length_s + ENDS_WITHIN_S)
        for nursery in (sending, watching):
            nursery.cancel_scope.cancel()
    (site.folder / "clock.json").write_bytes(msgspec.json.encode(play.late_by_second))
    return play.clock_late_s


async def _wait_ended(history: History, until: float) -> None:
    while trio.current_time() < until and any(  # noqa: ASYNC110
        job.served is None for job in history.jobs
    ):
        await trio.sleep(LOOK_S)


def _count(history: History, judge: Judge) -> dict[str, int]:
    """Return the counts of a play, by what they count."""
    jobs = owed(history)
    counts = Counter(judge.counts)
    counts["requests"] = len(jobs)
    counts["arrivals"] = len(history.arrivals)
    for kind, (served, asked) in served_by(jobs, lambda job: job.kind).items():
        counts[f"{kind} served"], counts[f"{kind} asked"] = served, asked
    for service, most in most_repeats(history).items():
        counts[f"most repeats at {service}"] = most
    for end in history.ends:
        counts[f"ended by {end.deadly}"] += 1
    for cause, late in late_by_cause(history).items():
        counts[f"late with {cause}"] = late
    counts["streams of two versions"] = len(streams_of_two_versions(history))
    counts["rests asked for"] = len(history.rests)
    return dict(sorted(counts.items()))


def served_by_vm(history: History) -> dict[str, tuple[int, int]]:
    """Return the attempts with an answer of success, and all, by the VM that took them."""
    asked: Counter[str] = Counter()
    served: Counter[str] = Counter()
    for attempt in history.attempts.values():
        asked[attempt.vm or "none"] += 1
        served[attempt.vm or "none"] += attempt.status == 200
    return {vm: (served[vm], count) for vm, count in sorted(asked.items())}
