"""The callers' library for services: a bid is placed once, whatever dies around it."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import attrs
import trio

from lagoonlever.client.caller import Caller
from lagoonlever.client.service_calls import ServiceAnswer, ServiceCaller, ServiceRequest
from lagoonlever.fakes.cluster import EmbeddedCluster
from lagoonlever.fakes.faults import FaultKind, FaultOrder
from lagoonlever.outcomes import OutcomeTag

TIMEOUT_S = 40
BID = ServiceRequest(
    method="POST", path="/services/application/bids", body=b'{"lot": 7}', within_s=8.0
)

Story = Callable[[EmbeddedCluster, ServiceCaller], Awaitable[None]]


def run(story: Story, *, vms: int = 2) -> None:
    async def main() -> None:
        async with trio.open_nursery() as nursery:
            cluster = EmbeddedCluster(nursery=nursery)
            with trio.fail_after(TIMEOUT_S):
                await cluster.start(engines=1, vms=vms)
                addresses = tuple(cluster.addresses())
                caller = ServiceCaller(
                    caller=Caller(addresses=list(addresses)), addresses=addresses
                )
                await story(cluster, caller)
            nursery.cancel_scope.cancel()

    trio.run(main)


def executions(cluster: EmbeddedCluster, answer: ServiceAnswer) -> int:
    return sum(
        application.executions.by_key.get(answer.key or "", 0)
        for application in cluster.applications.values()
    )


def test_a_bid_gets_a_key_with_a_home_and_its_repeat_the_same_answer() -> None:
    async def story(cluster: EmbeddedCluster, caller: ServiceCaller) -> None:
        first = await caller.call(BID)
        again = await caller.call(attrs.evolve(BID, key=first.key))
        assert first.outcome is again.outcome is OutcomeTag.DONE
        assert first.key is not None and first.key.startswith("vm-")
        assert first.body == again.body
        assert executions(cluster, first) == 1

    run(story)


def test_a_lookup_takes_no_key() -> None:
    async def story(cluster: EmbeddedCluster, caller: ServiceCaller) -> None:
        request = ServiceRequest(method="GET", path="/services/application/prices/chili")
        answer = await caller.call(request)
        assert answer.outcome is OutcomeTag.DONE
        assert answer.key is None

    run(story)


def test_a_bid_whose_answer_was_lost_is_unknown_and_never_doubled() -> None:
    """A dealer bids twice: the first bid was placed, its answer lost, and it was sent anew.

    The service executes the bid and the connection breaks before the answer. The
    caller repeats it under its key, which runs nothing; unknown is the honest word.
    """

    async def story(cluster: EmbeddedCluster, caller: ServiceCaller) -> None:
        (application,) = cluster.applications.values()
        application.inject(FaultOrder(kind=FaultKind.DROP_ANSWER))
        answer = await caller.call(attrs.evolve(BID, within_s=2.0))
        assert answer.outcome is OutcomeTag.UNKNOWN
        assert answer.tries > 1
        assert executions(cluster, answer) == 1

    run(story)


def test_a_wrong_path_is_told_at_once() -> None:
    async def story(cluster: EmbeddedCluster, caller: ServiceCaller) -> None:
        answer = await caller.call(attrs.evolve(BID, path="/services/nothing/bids"))
        assert answer.outcome is OutcomeTag.NOT_RUN
        assert (answer.status, answer.tries) == (404, 1)

    run(story, vms=1)


def test_a_bid_that_was_not_run_is_sent_again_under_a_new_key() -> None:
    """A dealer's bid never arrives: each repeat is told "not run" though runners are back.

    The runner was dead at the first try, and "not run" is final for a key. A
    repeat needs a new one.
    """

    async def story(cluster: EmbeddedCluster, caller: ServiceCaller) -> None:
        cluster.kill_target("application-1")
        async with trio.open_nursery() as nursery:

            async def come_back() -> None:
                await trio.sleep(1.0)
                await cluster.start_application("application-2", "dc-a")
                cluster.publish_list()

            nursery.start_soon(come_back)
            answer = await caller.call(attrs.evolve(BID, within_s=20.0))
        assert answer.outcome is OutcomeTag.DONE
        assert answer.tries > 1
        assert executions(cluster, answer) == 1

    run(story)
