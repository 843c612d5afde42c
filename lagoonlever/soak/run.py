"""One run of the soak: starts the deployment, harms it by the plan, and tells what broke."""

from __future__ import annotations

import itertools
import random
from pathlib import Path

import attrs
import trio

from lagoonlever.exceptions import PeerError
from lagoonlever.fakes.platform_engine import DeathStage
from lagoonlever.gateway.settings import MachineLimits
from lagoonlever.http.client import fetch
from lagoonlever.platform.documents import caller_headers
from lagoonlever.platform.entry_calls import READY_PATH
from lagoonlever.soak.callers import FIRST_OTHER, FIRST_SHARING, SoakCaller
from lagoonlever.soak.crowd import SoakCrowds
from lagoonlever.soak.deployments import (
    HOST,
    ORGANISATION,
    PLAIN,
    SHORT_STREAMS,
    Deployment,
    Shape,
    Traffic,
    draw_deployment,
)
from lagoonlever.soak.faults import FaultActions
from lagoonlever.soak.judge import OK, Judge, Violation
from lagoonlever.soak.plan import Fault, draw_plan
from lagoonlever.soak.site import BACK_AFTER_S, CALM_S, GATEWAY, SoakSite, SoakVm

SMALL = MachineLimits(memory_mb=150.0, descriptors=1638)
"""The least memory and the fewest descriptors of a machine."""
APPLY_S = 2.0
"""A stored configuration is in force everywhere within this."""
APPLY_MARGIN_S = 0.5
"""For the machine of the soak, which runs everything on a few cores."""
START_S = 20.0
"""Generous: starting takes a second, on a loaded machine a few."""
RECOVER_S = 10.0
"""After the last fault every VM serves within this."""
DENIED = (401, 404)
CHECK_S = 0.1


@attrs.frozen(kw_only=True)
class SoakSize:
    """How large a run is."""

    vms: int = 4
    engines: int = 6
    runners: int = 3
    callers: int = 8
    length_s: float = 15.0
    deadly: int = 0
    """Prompts that end each engine that runs them; each is sent by two callers."""
    deadly_parts: int = 0
    """Parts of different prompts that end each engine; prompts with each are sent by two."""
    subjects: int = 0
    """Parts of which each prompt has one, deadly ones too, in place of the one that all share."""
    parts_every_s: float = 0.0
    """From the first request with a deadly part until the first with the next one."""
    crowd: int = 0
    """Clients that don't behave in each crowd of them; the machines are small then."""
    dies_at: DeathStage = DeathStage.HEAD
    """How much of its answer an engine has written when a prompt ends it."""
    back_after_s: float = BACK_AFTER_S
    """Between the end of a target and the start of another one at its address."""


@attrs.frozen(kw_only=True)
class SoakResult:
    """What a run has shown."""

    seed: int
    faults: tuple[Fault, ...]
    deployment: Deployment
    violations: tuple[Violation, ...]
    counts: dict[str, int]
    served: tuple[str, ...]
    """How often each kind, organisation and rank was served, and who was refused for what."""


async def run_soak(
    seed: int,
    *,
    size: SoakSize,
    folder: Path,
    program: tuple[str, ...] = GATEWAY,
    plan: tuple[Fault, ...] | None = None,
    deployment: Deployment | None = None,
    shape: Shape = SHORT_STREAMS,
) -> SoakResult:
    """Play one seed, or a given plan; logs of the processes go to ``folder``.

    A plan is played on the plain deployment, unless another one is given.
    """
    if deployment is None:
        deployment = draw_deployment(seed) if plan is None else PLAIN
    plan = draw_plan(seed, length_s=size.length_s) if plan is None else plan
    judge = Judge(organisation=ORGANISATION)
    async with trio.open_nursery() as nursery:
        site = SoakSite(
            nursery=nursery,
            judge=judge,
            folder=folder,
            rng=random.Random(f"{seed}-site"),
            program=program,
            deployment=deployment,
            shape=shape,
            dies_at=size.dies_at,
            back_after_s=size.back_after_s,
            machine=SMALL if size.crowd else MachineLimits(),
        )
        try:
            await site.start(vms=size.vms, engines=size.engines, runners=size.runners)
            await wait_ready(site, START_S, "start")
            if not judge.violations:
                await _play(site, plan, size, seed)
        finally:
            site.kill_all()
        nursery.cancel_scope.cancel()
    return SoakResult(
        seed=seed,
        faults=plan,
        deployment=deployment,
        violations=tuple(judge.violations),
        counts=dict(sorted(judge.counts.items())),
        served=tuple(judge.served.summary()),
    )


async def _play(site: SoakSite, plan: tuple[Fault, ...], size: SoakSize, seed: int) -> None:
    async with trio.open_nursery() as nursery:
        if site.shape.traffic is not None:
            nursery.start_soon(_send_traffic, site, site.shape.traffic, size, seed)
        else:
            for number in range(size.callers):
                nursery.start_soon(_caller(number, site, size, seed).run)
        _start_deadly(nursery, site, size, seed)
        nursery.start_soon(watch_processes, site)
        nursery.start_soon(_watch_configuration, site)
        crowded = _start_crowds(nursery, site, size, seed)
        actions = FaultActions(site=site)
        begun = trio.current_time()
        async with trio.open_nursery() as faults:
            for fault in plan:
                await trio.sleep_until(begun + fault.at_s)
                faults.start_soon(actions.carry_out, fault)
        await trio.sleep_until(begun + size.length_s)
        crowded.cancel()
        await wait_ready(site, RECOVER_S, "recovery")
        nursery.cancel_scope.cancel()
    site.judge.judge_served()
    await _serve_again(site, seed)


def _start_crowds(
    nursery: trio.Nursery, site: SoakSite, size: SoakSize, seed: int
) -> trio.CancelScope:
    """Start the crowds of clients that don't behave, if any; they leave as the scope ends."""
    scope = trio.CancelScope()
    crowds = SoakCrowds(site=site, rng=random.Random(f"{seed}-crowds"), count=size.crowd)

    async def run() -> None:
        with scope:
            await crowds.run()

    if size.crowd:
        nursery.start_soon(run)
    return scope


def _caller(number: int, site: SoakSite, size: SoakSize, seed: int) -> SoakCaller:
    rng = random.Random(f"{seed}-caller-{number}")
    return SoakCaller(number=number, site=site, judge=site.judge, rng=rng, subjects=size.subjects)


async def _send_traffic(site: SoakSite, traffic: Traffic, size: SoakSize, seed: int) -> None:
    """Send requests at their rate, each by a caller that has none open, until cancelled."""
    rng = random.Random(f"{seed}-traffic")
    idle = [_caller(number, site, size, seed) for number in range(size.callers)]
    numbers = itertools.count(size.callers)

    async def send(caller: SoakCaller, kind: str) -> None:
        await caller.send_one(kind)
        idle.append(caller)

    async with trio.open_nursery() as nursery:
        while True:
            await trio.sleep(rng.expovariate(traffic.per_s))
            if not idle:
                idle.append(_caller(next(numbers) % FIRST_OTHER, site, size, seed))
            caller = idle.pop(rng.randrange(len(idle)))
            nursery.start_soon(send, caller, traffic.draw(rng))


def _start_deadly(nursery: trio.Nursery, site: SoakSite, size: SoakSize, seed: int) -> None:
    """Start the callers whose prompts end engines; both of a prompt may meet at one engine."""
    for number in range(2 * size.deadly):
        part = f"deadly-{number // 2}"
        site.deadly.add(part)
        rng = random.Random(f"{seed}-deadly-{number}")
        caller = SoakCaller(number=FIRST_OTHER + number, site=site, judge=site.judge, rng=rng)
        nursery.start_soon(caller.run_deadly, part)
    for number in range(2 * size.deadly_parts):
        part = f"deadly-part-{number // 2}"
        site.deadly.add(part)
        site.judge.record_shared(part)
        rng = random.Random(f"{seed}-deadly-part-{number}")
        caller = SoakCaller(
            number=FIRST_SHARING + number,
            site=site,
            judge=site.judge,
            rng=rng,
            subjects=size.subjects,
        )
        begins_after_s = size.parts_every_s * (number // 2)
        nursery.start_soon(caller.run_deadly_part, part, begins_after_s)


async def wait_ready(site: SoakSite, limit_s: float, promise: str) -> None:
    """Wait until every VM takes callers; a violation if one does not in time."""
    waiting = list(site.vms)
    with trio.move_on_after(limit_s):
        while waiting:
            waiting = [vm for vm in waiting if not await _is_ready(vm)]
            await trio.sleep(CHECK_S)
    for vm in waiting:
        site.judge.break_promise(promise, f"{vm.name} does not take callers after {limit_s:g} s")


async def _is_ready(vm: SoakVm) -> bool:
    address = vm.settings.readiness
    assert address is not None
    try:
        answer = await fetch(address, path=READY_PATH, step="ready", timeout_s=1.0)
    except PeerError:
        # Not there yet; the caller asks again until its time is over.
        return False
    return answer.status == OK


async def watch_processes(site: SoakSite) -> None:
    """Record a process that exited by itself."""
    while True:
        for vm in site.vms:
            code = vm.process.poll() if vm.process is not None else None
            if code is not None and not vm.asked_to_end:
                vm.asked_to_end = True
                site.judge.break_promise("no end of its own", f"{vm.name} ended with {code}")
        await trio.sleep(CHECK_S)


async def _watch_configuration(site: SoakSite) -> None:
    """Check at each VM that a version is in force in time: its new key, and the one that went."""
    seen = site.version
    async with trio.open_nursery() as nursery:
        while True:
            await trio.sleep(CHECK_S)
            if site.version != seen:
                seen = site.version
                for vm in site.vms:
                    nursery.start_soon(_check_version, site, vm, site.keys[-1], site.revoked)


async def _check_version(site: SoakSite, vm: SoakVm, new: str, revoked: str) -> None:
    written = trio.current_time()
    version = site.version
    await trio.sleep(APPLY_S + APPLY_MARGIN_S)
    for key, allowed in ((new, True), (revoked, False)):
        status = await _probe(vm, key, f"probe-{version}-{vm.name}-{key}")
        calm_since = max(vm.disturbed_at, site.store_disturbed_at) + CALM_S
        superseded = allowed and key not in site.keys
        if status == 0 or superseded or calm_since > written or _store_is_harmed(site, vm):
            return
        if allowed == (status in DENIED):
            detail = f"{vm.name} answers {status} to {key}, {version} was written {APPLY_S:g} s ago"
            site.judge.break_promise("configuration in force", detail)


def _store_is_harmed(site: SoakSite, vm: SoakVm) -> bool:
    return site.store.harmed or vm.store_link.harmed


async def _probe(vm: SoakVm, key: str, request: str) -> int:
    headers = caller_headers(request_id=request, host=HOST, key=key, deadline_s=1.0)
    try:
        answer = await fetch(
            vm.settings.listen,
            method="POST",
            path=f"/bid/{request}",
            headers=headers,
            step="probe",
            timeout_s=2.0,
        )
    except PeerError:
        # The VM is away; whether its configuration is in force can't be told.
        return 0
    return answer.status


async def _serve_again(site: SoakSite, seed: int) -> None:
    """After all faults: bids, lookups and streams are served again."""
    site.end_bad_answers()
    caller = SoakCaller(number=999, site=site, judge=site.judge, rng=random.Random(f"{seed}-last"))
    await trio.sleep(CALM_S)
    for kind in ("bid", "look"):
        status = await caller.call(kind)
        if status != OK:
            site.judge.break_promise("recovery", f"a {kind} got {status} after all faults")
    if not await _whole_stream(caller):
        site.judge.break_promise("recovery", "a stream was not whole after all faults")


async def _whole_stream(caller: SoakCaller) -> bool:
    caller.leaves = 0.0
    return await caller.stream()
