"""A VM stands still for a second at any point of a request: what it calls unrun has not run."""

from __future__ import annotations

import contextlib
import enum
import random
from collections import Counter
from collections.abc import Iterable, Iterator

import attrs
import pytest
import trio

from lagoonlever.exceptions import PeerError
from lagoonlever.fakes.platform_engine import EngineConduct, FakeEngine
from lagoonlever.fakes.platform_runner import Conduct, FakeRunner
from lagoonlever.gateway.beliefs import Beliefs
from lagoonlever.gateway.front import Front
from lagoonlever.http.exchange import Exchange
from lagoonlever.http.messages import Headers
from lagoonlever.outcomes import NOT_RUN_STATUSES
from lagoonlever.platform.headers import REQUEST_ID
from lagoonlever.tests.free_ports import free_address
from lagoonlever.tests.frozen_vm import Freezer, outside_target
from lagoonlever.tests.gateway_site import GatewaySite, configuration, route, run_site, until_within

FROZEN_S = 1.1
CASES = 6
"""Requests of one seed."""
DEADLINES_MS = (400, 1_150, 1_500, 3_000)
"""One ends while the VM stands still, one right after it."""
WORK_S = (0.0, 0.05, 0.5)
MOST_POINTS = {"bid": 350, "stream": 500}
"""By then a request is written, and an answer that comes at once is being read."""
TARGETS = 4
VERSION = 2
"""Of the configuration in which no request may run twice."""
WARMING = 3
"""Requests after which there are kept connections."""
LATER_S = 0.3
"""After an answer, in which bytes that are still under way reach a target."""


class BookingEngine(FakeEngine):
    """Keeps a book of what it has begun to run."""

    def __init__(self, *, target_id: str) -> None:
        super().__init__(target_id=target_id, fleet={})
        self.book: Counter[str] = Counter()

    def record_accepted(self, headers: Headers) -> None:
        self.book[headers.get(REQUEST_ID) or ""] += 1


@attrs.define(kw_only=True, eq=False)
class OutsideTargets:
    """Two runners and two engines, each in a thread of its own."""

    runners: list[FakeRunner]
    engines: list[BookingEngine]

    def runs(self, request: str) -> int:
        """Return how often a request was run, by the books of all targets."""
        books = [runner.runs for runner in self.runners] + [each.book for each in self.engines]
        return sum(book[request] for book in books)


@contextlib.contextmanager
def outside_targets(site: GatewaySite) -> Iterator[OutsideTargets]:
    """Run targets outside of the site, and list them."""
    targets = OutsideTargets(
        runners=[FakeRunner(target_id=f"runner-{number}") for number in range(2)],
        engines=[BookingEngine(target_id=f"engine-{number}") for number in range(2)],
    )
    with contextlib.ExitStack() as stack:
        for target in (*targets.runners, *targets.engines):
            name = target.target_id
            address = site.addresses[name] = free_address()
            stack.enter_context(outside_target(target.run, address))
            service = "apps" if isinstance(target, FakeRunner) else "engines"
            site.list_target(name, service=service)
        yield targets


@attrs.frozen(kw_only=True)
class Case:
    """One request, and the point at which its VM stands still."""

    kind: str
    at: int
    deadline_ms: int
    is_warm: bool
    """Whether kept connections lead to the targets."""

    @classmethod
    def draw(cls, rng: random.Random) -> Case:
        """Draw a case by chance."""
        kind = rng.choice(["bid", "bid", "stream"])
        return cls(
            kind=kind,
            at=rng.randrange(1, MOST_POINTS[kind]),
            deadline_ms=rng.choice(DEADLINES_MS),
            is_warm=rng.random() < 0.5,
        )


FIRST = Case(kind="bid", at=0, deadline_ms=5_000, is_warm=False)


def set_conducts(rng: random.Random, targets: OutsideTargets) -> None:
    """Have the targets treat the next request by chance; the second one mostly serves."""
    for runner in targets.runners:
        runner.work_s = rng.choice(WORK_S)
        runner.conducts.clear()
        if rng.random() < 0.5:
            choices = [Conduct.REFUSE, Conduct.LOSE_ANSWER, Conduct.FAIL_BUSY, Conduct.STAY_SILENT]
            runner.conducts.append(rng.choice(choices))
    for engine in targets.engines:
        engine.conducts.clear()
        if rng.random() < 0.5:
            choices = [
                EngineConduct.REFUSE,
                EngineConduct.LOSE_ANSWER,
                EngineConduct.STAY_SILENT,
            ]
            engine.conducts.append(rng.choice(choices))


class Says(enum.Enum):
    """What targets say of themselves, by which a VM asks others before it sends to them."""

    NOTHING = "nothing"
    SLOWNESS = "slowness"
    """How slow their machines are: their places are given out."""
    LIMIT = "limit"
    """The requests a second that they take: permits are given out."""


def say(says: Says, targets: OutsideTargets) -> None:
    """Have the targets say something in each answer."""
    for target in (*targets.runners, *targets.engines):
        target.says.slowness = 1.0 if says is Says.SLOWNESS else None
        target.says.limit = "200" if says is Says.LIMIT else None


def has_heard(site: GatewaySite, says: Says) -> bool:
    """Check whether the VM knows of a runner what the runners say."""
    parts = site.vms["vm-0"].daemon.parts
    runners = [each.id for each in parts.beliefs.targets.serving("apps")]
    slow = any(parts.beliefs.loads.reports_slowness(runner) for runner in runners)
    limited = any(parts.limits.limit_of(runner) is not None for runner in runners)
    return slow is (says is Says.SLOWNESS) and limited is (says is Says.LIMIT)


def at_most_once() -> dict[str, object]:
    """Return a configuration whose routes allow no request to run twice."""
    document = configuration(VERSION)
    stream = route("stream", "/stream/", "streaming", "engines", MaxAttempts=2, TimeoutMs=25_000)
    bid = route("bid", "/bid/", "non_idempotent", "apps", MaxAttempts=2)
    document["Routes"] = [stream, bid]
    return document


def version_of(beliefs: Beliefs) -> int | None:
    """Return the version of the configuration that a VM knows."""
    configuration = beliefs.configuration.value
    return configuration.version if configuration is not None else None


async def send(site: GatewaySite, case: Case, request: str) -> int:
    """Send a request and return the status of its answer, or 0 if there is none."""
    deadline = str(case.deadline_ms)
    try:
        if case.kind == "stream":
            more = {"Request_Id": request, "Deadline_Ms": deadline}
            return (await site.stream(f"part-{request}", **more)).status
        headers = site.headers(request, Deadline_Ms=deadline)
        return (await site.call("/bid/1", body=b"bid", headers=headers)).status
    except PeerError:
        return 0


@attrs.frozen(kw_only=True)
class Ended:
    """What became of a case: the status of the answer, and how often targets ran the request."""

    case: Case
    status: int
    runs: int
    has_frozen: bool

    @property
    def is_true(self) -> bool:
        """Whether it ran once at most, and not at all if its caller was told so."""
        return self.runs <= (self.status not in NOT_RUN_STATUSES)


def play(
    cases: Iterable[Case], says: Says, rng: random.Random, monkeypatch: pytest.MonkeyPatch
) -> list[Ended]:
    """Send the requests of the cases, one after the other, by a VM that stands still in each."""
    freezer = Freezer(at=0, seconds=FROZEN_S)
    handle = Front.handle
    ended: list[Ended] = []

    async def handle_watched(front: Front, exchange: Exchange) -> None:
        freezer.watch()
        await handle(front, exchange)

    async def story(site: GatewaySite) -> None:
        nonlocal freezer
        site.configure(at_most_once())
        with outside_targets(site) as targets:
            beliefs = site.vms["vm-0"].daemon.parts.beliefs
            await until_within(5.0, lambda: len(beliefs.targets.targets) == TARGETS)
            await until_within(5.0, lambda: version_of(beliefs) == VERSION)
            say(says, targets)
            for _ in range(WARMING):
                await send(site, FIRST, "warming")
            assert has_heard(site, says)
            answers: list[tuple[Case, str, int, bool]] = []
            for number, case in enumerate(cases):
                request = f"frozen-{number}"
                for _ in range(WARMING if case.is_warm else 0):
                    await send(site, attrs.evolve(case, deadline_ms=5_000), "warming")
                set_conducts(rng, targets)
                freezer = Freezer(at=case.at, seconds=FROZEN_S)
                with freezer.watching():
                    status = await send(site, case, request)
                answers.append((case, request, status, freezer.has_frozen))
            await trio.sleep(LATER_S)
            for case, request, status, has_frozen in answers:
                runs = targets.runs(request)
                ended.append(Ended(case=case, status=status, runs=runs, has_frozen=has_frozen))

    monkeypatch.setattr(Front, "handle", handle_watched)
    run_site(story, engines=0, runners=0, vms=2)
    return ended


@pytest.mark.parametrize("seed", range(3))
def test_what_a_frozen_vm_calls_unrun_has_not_run(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against "not run" as a deadline ends between a permission, a connection and a write.

    Judged by the books of the targets, which read on while the VM stands still, also for what
    they run after the answer.
    """
    rng = random.Random(seed)
    says = list(Says)[seed % len(Says)]
    ended = play([Case.draw(rng) for _ in range(CASES)], says, rng, monkeypatch)
    assert sum(each.has_frozen for each in ended) >= CASES // 2
    assert not [each for each in ended if not each.is_true]
