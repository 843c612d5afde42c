"""Requests that wait at a VM while it is in doubt whether a part of their prompts ends engines."""

from __future__ import annotations

import random
from types import SimpleNamespace
from typing import Any, cast
from unittest.mock import AsyncMock, MagicMock

import attrs
import pytest
import trio
import trio.testing

from lagoonlever.decisions.engines.part_doubts import CLEARING_S
from lagoonlever.decisions.engines.suspects import Suspects, part_suspects
from lagoonlever.decisions.engines.target_crashes import (
    MAX_REPORT_DELAY_S,
    WEIGHT_QUEUED,
    WEIGHT_STARTED,
    Crash,
)
from lagoonlever.decisions.settings.configuration import RouteKind
from lagoonlever.gateway import front as front_module
from lagoonlever.gateway.accepted import Accepted
from lagoonlever.gateway.crash_watch import CrashWatch
from lagoonlever.gateway.doubt_waits import LOOK_PERIOD_S
from lagoonlever.gateway.front import Front
from lagoonlever.gateway.reporter import Reporter
from lagoonlever.http.exchange import CallerGone
from lagoonlever.outcomes import NotRun, Reason
from lagoonlever.peers.messages_crashes import PartTried, TrialEnded

(PART,) = part_suspects(service="s", model="m", shared=("all",))
ENDED_UNDER = ("one", "two", "one", "two", "one")
APART_S = 0.2
LATER_S = 40.0
"""Long after any trial counts as over."""
MANY, MANY_VMS = 200, 400
WATCHED_S = 0.5


@attrs.define(kw_only=True)
class Timers:
    """The clock of the test's loop."""

    @property
    def now(self) -> float:
        """The time of the loop."""
        return trio.current_time()


@attrs.define(kw_only=True)
class Site:
    """One VM's watch and front, and what they told and served; nothing else is there."""

    watch: CrashWatch
    front: Front
    spread: MagicMock
    last: MagicMock
    reporter: MagicMock
    served: list[str]

    def told(self, kind: type) -> list[object]:
        """Return the messages of a kind that went to other VMs."""
        words = [call.args[0] for call in self.spread.tell.call_args_list]
        return [word for word in words if isinstance(word, kind)]

    def others_try(self) -> None:
        """Have another VM try the part, so that all here wait."""
        self.watch._trials._trials.record_elsewhere(
            f"{PART}#doubt", trio.current_time(), vm="vm-9", own="vm-0"
        )

    def clears(self) -> None:
        """Have an answer at another VM clear the part."""
        self.watch._suspects.record_answer(PART, trio.current_time() + 0.6, is_own=False)

    async def ask(self, accepted: Accepted) -> NotRun | None:
        """Have a request arrive; return why it was refused."""
        exchange = cast("MagicMock", accepted.exchange)
        exchange.accepted = accepted
        await self.front.handle(exchange)
        return cast("NotRun | None", exchange.refusal)


def asked(request: str, fingerprint: str, *, is_present: bool = True) -> Accepted:
    """Return a request that shares the part, of a caller that is there or has left."""
    exchange = MagicMock(is_caller_gone=not is_present, responded=False, refusal=None)
    exchange.caller_present.return_value = is_present
    deadline = trio.current_time() + 30.0
    return cast(
        "Accepted",
        SimpleNamespace(
            request_id=request,
            fingerprint=fingerprint,
            suspects=Suspects(request=fingerprint, parts=(PART,)),
            route=SimpleNamespace(name="r", kind=RouteKind.STREAM),
            organisation="o",
            shared_parts=("all",),
            exchange=exchange,
            arrived=trio.current_time(),
            deadline=deadline,
            left_s=lambda now: deadline - now,
        ),
    )


def doubting_site(*, first_ago_s: float, ends: trio.Event | None = None) -> Site:
    """Return a VM that saw five ends under two prompts, and knows of no answer.

    What is served ends with the event.
    """
    beliefs, spread, last = MagicMock(), MagicMock(), MagicMock()
    reporter = MagicMock(wraps=Reporter(timers=cast("Any", Timers())))
    beliefs.fellows.present.return_value = []
    beliefs.targets.leaving.changes = 0
    beliefs.known.wait = AsyncMock()
    last.refusal.return_value = None
    others: dict[str, Any] = {
        name: MagicMock()
        for name in ["store", "bus", "roles", "client", "prober", "dialer", "tunnel_desk", "tally"]
    }
    watch = CrashWatch(
        own="vm-0",
        beliefs=beliefs,
        timers=cast("Any", Timers()),
        spread=spread,
        rng=random.Random(1),
        hears_runs=lambda: True,
        **others,
    )
    watch._records.recalled.set()
    for number, request in enumerate(ENDED_UNDER):
        at = trio.current_time() - first_ago_s + APART_S * number
        process = f"p{number}"
        watch._suspects.record_crash(request, process, Crash(at=at, weight=WEIGHT_QUEUED))
        crash = Crash(at=at, weight=WEIGHT_STARTED, requests=(request,))
        watch._suspects.record_crash(PART, process, crash)
    served: list[str] = []

    async def serve(accepted: Accepted) -> None:
        served.append(accepted.request_id)
        if ends is not None:
            await ends.wait()

    front = Front(
        beliefs=beliefs,
        timers=cast("Any", Timers()),
        reporter=reporter,
        rng=random.Random(1),
        crashes=watch,
        last=last,
        rollouts=MagicMock(),
        serve={RouteKind.STREAM: serve},
    )
    return Site(
        watch=watch, front=front, spread=spread, last=last, reporter=reporter, served=served
    )


def run(story: Any) -> None:
    """Run a story on a clock that jumps; exchanges keep the refusal that they were told."""

    async def tell(exchange: Any, outcome: NotRun) -> None:
        exchange.refusal = outcome

    with pytest.MonkeyPatch().context() as patched:
        patched.setattr(front_module, "tell", tell)
        patched.setattr(front_module, "read_caller", lambda _: None)
        patched.setattr(Front, "_accept", lambda _, exchange, *__: exchange.accepted)
        trio.run(story, clock=trio.testing.MockClock(autojump_threshold=0))


def test_a_request_that_is_refused_after_a_doubt_holds_no_trial_of_itself() -> None:
    """Each return of its caller was refused from then on, as the first one never ended."""

    async def story() -> None:
        site = doubting_site(first_ago_s=0.9)
        site.others_try()
        first = await site.ask(asked("id-1", "one"))
        assert first is not None
        assert first.reason is Reason.ENDS_TARGETS
        site.clears()
        await trio.sleep(LATER_S)
        site.watch._trials.expire(trio.current_time())
        assert await site.ask(asked("id-2", "one")) is None
        assert site.served == ["id-2"]

    run(story)


def test_a_request_that_waits_in_a_doubt_tells_nobody_that_it_tries() -> None:
    """It had three ends of its own, and all other VMs refused its copies while it waited."""

    async def story() -> None:
        site = doubting_site(first_ago_s=0.9)
        site.others_try()
        with trio.move_on_after(CLEARING_S / 2):
            await site.watch.until_decided(asked("id-1", "one"))
        assert site.told(PartTried) == []

    run(story)


def test_a_trial_ends_with_a_request_that_is_refused_after_it_was_let_through() -> None:
    """Another VM's trial of the request itself, told meanwhile, is why it may not run."""

    async def story() -> None:
        site = doubting_site(first_ago_s=0.8 + MAX_REPORT_DELAY_S)
        accepted = asked("id-1", "x")
        refusal = NotRun(reason=Reason.ENDS_TARGETS, message="barred meanwhile")
        with pytest.MonkeyPatch().context() as patched:
            patched.setattr(CrashWatch, "refusal", lambda *_: refusal)
            assert await site.ask(accepted) is refusal
        assert site.told(PartTried)
        assert site.told(TrialEnded)
        assert await site.ask(asked("id-2", "y")) is None
        assert site.served == ["id-2"]

    run(story)


def test_a_request_whose_caller_has_left_takes_no_trial_of_a_doubt() -> None:
    """There is one, and all others wait for longer than the doubt lasts, so nobody else tried."""

    async def story() -> None:
        site = doubting_site(first_ago_s=0.9)
        with pytest.raises(CallerGone):
            await site.ask(asked("id-1", "x", is_present=False))
        assert site.told(PartTried) == []
        assert await site.ask(asked("id-2", "y")) is None
        assert site.told(PartTried)

    run(story)


def test_a_request_whose_caller_left_during_a_doubt_is_not_served() -> None:
    """What is sent after its caller has left runs for nobody."""

    async def story() -> None:
        site = doubting_site(first_ago_s=0.9)
        site.others_try()
        accepted = asked("id-1", "x")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(leave_and_clear, site, accepted)
            with pytest.raises(CallerGone):
                await site.ask(accepted)
        assert site.served == []
        assert site.reporter.left.called

    run(story)


async def leave_and_clear(site: Site, accepted: Accepted) -> None:
    """Have a caller leave while its request waits, and the part be cleared after that."""
    await trio.sleep(APART_S)
    cast("MagicMock", accepted.exchange).caller_present.return_value = False
    await trio.sleep(APART_S)
    site.clears()


def test_a_vm_that_was_told_to_stop_during_a_doubt_begins_no_call() -> None:
    """It was asked for that before the wait only, and the call's answer is due after its end."""

    async def story() -> None:
        site = doubting_site(first_ago_s=0.9)
        site.others_try()
        refusal = NotRun(reason=Reason.LEAVING, message="this VM stops")

        async def stop() -> None:
            await trio.sleep(APART_S)
            site.last.refusal.return_value = refusal
            site.clears()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(stop)
            assert await site.ask(asked("id-1", "x")) is refusal
        assert site.served == []

    run(story)


def test_the_looks_of_many_that_wait_cost_no_more_than_those_of_one() -> None:
    """Each listed all VMs twenty times a second: with hundreds of both the loop stood still."""

    async def story() -> None:
        site = doubting_site(first_ago_s=1.3)
        beliefs = cast("MagicMock", site.watch._beliefs)
        names = [f"vm-{number}" for number in range(MANY_VMS)]
        beliefs.fellows.present.return_value = [
            SimpleNamespace(life=SimpleNamespace(name=name)) for name in names
        ]
        logged: list[str] = []
        with pytest.MonkeyPatch().context() as patched:
            patched.setattr(
                CrashWatch, "_log_doubted", lambda _, a, __: logged.append(a.request_id)
            )
            async with trio.open_nursery() as nursery:
                for number in range(MANY):
                    nursery.start_soon(site.ask, asked(f"id-{number}", f"x-{number}"))
                await trio.sleep(APART_S)
                beliefs.fellows.present.reset_mock()
                await trio.sleep(WATCHED_S)
                looks = beliefs.fellows.present.call_count
                site.clears()
                await trio.sleep(APART_S)
                assert len(site.served) == MANY
        assert 0 < looks <= WATCHED_S / LOOK_PERIOD_S + 1
        assert len(logged) == 1

    run(story)


def test_one_of_many_that_wait_tries_and_the_others_go_on_once_it_is_cleared() -> None:
    """Each that waits looks after the one that looked before it, whatever became of that one."""

    async def story() -> None:
        ends = trio.Event()
        site = doubting_site(first_ago_s=0.9, ends=ends)
        gone = asked("gone", "x-gone")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(leave, site, gone)
            await trio.sleep(LOOK_PERIOD_S)
            for number in range(MANY):
                nursery.start_soon(site.ask, asked(f"id-{number}", f"x-{number}"))
            await trio.sleep(LOOK_PERIOD_S)
            cast("MagicMock", gone.exchange).caller_present.return_value = False
            await trio.sleep(MAX_REPORT_DELAY_S)
            assert len(site.told(PartTried)) == len(site.served) == 1
            site.clears()
            await trio.sleep(APART_S)
            assert len(site.served) == MANY
            ends.set()
        assert "gone" not in site.served

    run(story)


async def leave(site: Site, accepted: Accepted) -> None:
    """Ask for a caller that leaves meanwhile."""
    with pytest.raises(CallerGone):
        await site.ask(accepted)
