"""Tests of the orders part against the stand-in platform and engines, over sockets."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable

import msgspec
import pytest
import trio

from lagoonlever.decisions.membership.membership import Member, MemberState, MemberView
from lagoonlever.decisions.orders.orders import SendOrder, WantedState
from lagoonlever.decisions.orders.wanted import WantedEngines
from lagoonlever.decisions.targets.targets import ModelKey, Target, TargetKind, TargetView
from lagoonlever.entry.orders.orders import OrderSettings, OrdersPart
from lagoonlever.entry.orders.store import WANTED_KEY
from lagoonlever.fakes.batch import ServedModel
from lagoonlever.fakes.engine import EngineOptions, FakeEngine
from lagoonlever.fakes.platform import FakePlatform
from lagoonlever.http.messages import Address
from lagoonlever.http.server import open_listeners
from lagoonlever.identity import Incarnation
from lagoonlever.published import Published
from lagoonlever.store.etcd_json import EtcdPlatform
from lagoonlever.targets.orders import OrderAnswer, give_order, read_order
from lagoonlever.tests.base import until
from lagoonlever.timers import TimerService
from lagoonlever.tree.nodes import default_tree

LIMIT_S = 60
LEASE_S = 4.0
OLD = ModelKey(name="summary", version="v1")
NEW = ModelKey(name="summary", version="v2")


def member_view(*names: str) -> MemberView:
    address = Address(host="127.0.0.1", port=1)
    members = tuple(
        Member(
            incarnation=Incarnation(name=name, started_ms=1, nonce=1),
            data_center="a",
            http=address,
            peers=address,
            state=MemberState.ALIVE,
        )
        for name in names
    )
    return MemberView(members=members, own=members[0].incarnation)


@pytest.mark.parametrize("checks_fencing", [True, False])
def test_the_next_holder_puts_an_engine_right(checks_fencing: bool) -> None:
    """A holder dies; somebody's old order changes the engine; another VM takes over.

    An operator would find the engine without the model asked for. Cause: an
    engine that ignores the number takes an order from anybody.
    """

    async def serve(nursery: trio.Nursery, run) -> Address:
        listeners = await open_listeners(host="127.0.0.1", port=0)
        nursery.start_soon(run, listeners)
        return Address(host="127.0.0.1", port=listeners[0].socket.getsockname()[1])

    async def main() -> None:
        with trio.fail_after(LIMIT_S):
            async with trio.open_nursery() as nursery:
                await story(nursery)
                nursery.cancel_scope.cancel()

    async def story(nursery: trio.Nursery) -> None:
        options = EngineOptions(
            models=(ServedModel(name="summary", version="v1"),),
            checks_fencing=checks_fencing,
            model_load_s=0.05,
        )
        engine = await serve(nursery, FakeEngine(options=options).run)
        stand_in = await serve(nursery, FakePlatform().run)
        platform = EtcdPlatform(addresses=(stand_in,))
        wanted = WantedEngines(engines={"engine-1": WantedState(models=(NEW,))})
        await platform.compare_and_swap(
            WANTED_KEY, expected_revision=0, value=msgspec.json.encode(wanted)
        )
        timers = TimerService()
        nursery.start_soon(timers.run)
        target = Target(name="engine-1", address=engine, kind=TargetKind.ENGINE)

        async def serves_new() -> bool:
            report = await read_order(engine, timeout_s=5.0)
            return report.actual.models == (NEW,)

        async def wait_for(condition: Callable[[], Awaitable[bool]]) -> None:
            while not await condition():  # noqa: ASYNC110 - the engine tells no event
                await trio.sleep(0.1)

        def start(name: str) -> tuple[OrdersPart, trio.CancelScope]:
            part = OrdersPart(
                own_name=name,
                platform=platform,
                members=Published(member_view(name)),
                targets=Published(TargetView(targets=(target,))),
                tree=Published(default_tree()),
                timers=timers,
                random=random.Random(name),
                settings=OrderSettings(lease_s=LEASE_S, wanted_period_s=0.2, loads_per_minute=600),
            )
            scope = trio.CancelScope()

            async def run() -> None:
                with scope:
                    await part.run()

            nursery.start_soon(run)
            return part, scope

        first, first_scope = start("vm-1")
        await wait_for(serves_new)
        number = first.fencing
        first_scope.cancel()
        old = SendOrder(engine="engine-1", fencing=1, wanted=WantedState(models=(OLD,)))
        answer = await give_order(engine, old, timeout_s=5.0, may_write=lambda: True)
        assert (answer is OrderAnswer.REFUSED) is checks_fencing
        second, _ = start("vm-2")
        await until(lambda: second.fencing is not None)
        assert number is not None and second.fencing > number
        await wait_for(serves_new)

        async def stamped() -> bool:
            return (await read_order(engine, timeout_s=5.0)).fencing == second.fencing

        await wait_for(stamped)
        await wait_for(serves_new)

    trio.run(main)
