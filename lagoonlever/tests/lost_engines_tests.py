"""Engines that are lost under many requests at once."""

from __future__ import annotations

from typing import Any

import attrs
import pytest
import trio
import trio.testing

from lagoonlever.decisions.engines.answer_stages import STARTED
from lagoonlever.decisions.engines.crash_suspects import CrashSuspects
from lagoonlever.decisions.targets.listed_target import ListedTarget
from lagoonlever.decisions.targets.registry import TargetRegistry
from lagoonlever.gateway.lost_engines import SOUGHT_S, Loss, LostEngines
from lagoonlever.http.messages import Address
from lagoonlever.tests.gateway_site import GatewaySite, run_site, until
from lagoonlever.timers import TimerService

LOSSES = 12


@attrs.frozen
class _Request:
    """As much of a request as a loss that counts against nobody needs."""

    request_id: str = "r"


def _lose(site: GatewaySite) -> Loss:
    parts = site.vms["vm-0"].daemon.parts
    engine = parts.beliefs.targets.find("engine-0")
    assert engine is not None
    request: Any = _Request()
    now = trio.current_time()
    return Loss(accepted=request, engine=engine, weights=STARTED, sent_at=now, at=now)


def _judge(site: GatewaySite) -> LostEngines:
    return site.vms["vm-0"].daemon.parts.crashes._lost_engines


async def _count_questions(site: GatewaySite, losses: int) -> int:
    """Return how often an engine is asked until so many losses of it are judged."""
    prober = site.vms["vm-0"].daemon.parts.prober
    before = prober.questions
    lost = [_lose(site) for _ in range(losses)]
    for loss in lost:
        _judge(site).judge(loss)
    for loss in lost:
        await loss.judged.wait()
    return prober.questions - before


def test_an_engine_that_is_lost_under_many_requests_is_asked_as_for_one() -> None:
    """A dozen requests at an engine that went dark had it asked a dozen times each 0.1 s."""

    async def story(site: GatewaySite) -> None:
        await site.wait_met()
        site.engines["engine-0"].frozen.set()
        alone = await _count_questions(site, 1)
        together = await _count_questions(site, LOSSES)
        assert together <= alone + 2, (alone, together)

    run_site(story, engines=2, vms=2)


def test_an_answer_from_before_a_loss_does_not_settle_it() -> None:
    """A loss that joins while an engine is asked is judged by the next question."""

    async def story(site: GatewaySite) -> None:
        await site.wait_met()
        engine = site.engines["engine-0"]
        first = _lose(site)
        _judge(site).judge(first)
        prober = site.vms["vm-0"].daemon.parts.prober
        asked = prober.questions
        await until(lambda: prober.questions > asked)
        second = _lose(site)
        _judge(site).judge(second)
        await first.judged.wait()
        assert not second.judged.is_set()
        engine.frozen.set()
        with trio.move_on_after(SOUGHT_S / 2):
            await second.judged.wait()
        assert not second.judged.is_set()

    run_site(story, engines=2, vms=2)


@pytest.mark.parametrize("count", [1, LOSSES])
def test_losses_of_an_engine_that_lives_are_settled_at_once(count: int) -> None:
    async def story(site: GatewaySite) -> None:
        await site.wait_met()
        assert await _count_questions(site, count) <= 2

    run_site(story, engines=2, vms=2)


class _Prober:
    """One whose questions go unanswered, and end once it is let."""

    def __init__(self, *, shield: bool = False) -> None:
        self._shield = shield
        self.asked = trio.Event()
        self.let = trio.Event()

    async def ask(self, engine: ListedTarget, *, since: float) -> None:
        """Return nothing; with ``shield`` also to one that was cancelled meanwhile."""
        self.asked.set()
        with trio.CancelScope(shield=self._shield):
            await self.let.wait()

    def has_broken(self, engine_id: str) -> bool:
        """Return that no connection was closed."""
        return False


class _Dialer:
    """One to which every target is down."""

    def is_down(self, address: Address) -> bool:
        """Return that it is."""
        return True


class _Beliefs:
    """As much as the judge of losses asks for."""

    targets = TargetRegistry()


async def _is_down(address: Address) -> bool:
    return True


async def _count(loss: Loss) -> None:
    await trio.lowlevel.checkpoint()


def _judge_of(prober: _Prober) -> LostEngines:
    parts: Any = (prober, _Dialer(), _Beliefs())
    return LostEngines(
        prober=parts[0],
        dialer=parts[1],
        is_down=_is_down,
        beliefs=parts[2],
        suspects=CrashSuspects(),
        timers=TimerService(),
        crashed=_count,
    )


def _loss() -> Loss:
    address = Address(host="127.0.0.1", port=1)
    engine = ListedTarget(id="e", service="engines", address=address, data_center="dc-0")
    request: Any = _Request()
    now = trio.current_time()
    return Loss(accepted=request, engine=engine, weights=STARTED, sent_at=now, at=now)


async def _ask_until_cancelled(judge: LostEngines, prober: _Prober) -> None:
    """Have a loss judged, and cancel all judging while its engine is being asked."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(judge.run)
        await trio.testing.wait_all_tasks_blocked()
        judge.judge(_loss())
        await prober.asked.wait()
        nursery.cancel_scope.cancel()
        with trio.CancelScope(shield=True):
            await trio.testing.wait_all_tasks_blocked()
        prober.let.set()


def test_a_question_that_ends_as_a_vm_stops_is_no_fault() -> None:
    """The VM's end was an assertion that had failed, in place of a planned one."""

    async def main() -> None:
        prober = _Prober(shield=True)
        await _ask_until_cancelled(_judge_of(prober), prober)

    trio.run(main)


def test_a_loss_is_judged_after_the_judge_has_started_again() -> None:
    """After a fault of ours a process's later losses joined those of a question that was gone."""

    async def main() -> None:
        prober = _Prober()
        judge = _judge_of(prober)
        await _ask_until_cancelled(judge, prober)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(judge.run)
            await trio.testing.wait_all_tasks_blocked()
            loss = _loss()
            judge.judge(loss)
            with trio.fail_after(SOUGHT_S):
                await loss.judged.wait()
            nursery.cancel_scope.cancel()

    trio.run(main)
