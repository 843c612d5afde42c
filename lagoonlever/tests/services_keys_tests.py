"""Bids under a key: copies at two VMs, homes that are gone, claims at the platform."""

from __future__ import annotations

import json

import pytest
import trio

from lagoonlever.decisions.claims.keys import KEY_HEADER
from lagoonlever.entry.services.settings import ServiceSettings
from lagoonlever.fakes.platform import PlatformFault, PlatformFaultKind
from lagoonlever.http.client import Response
from lagoonlever.outcomes import RETRY_AFTER_HEADER
from lagoonlever.store import etcd_wire
from lagoonlever.tests.services_site import Site, outcome, reason, run_site


@pytest.mark.parametrize("plain", [True, False])
def test_copies_at_two_vms_at_once_run_once_and_get_one_answer(plain: bool) -> None:
    """A dealer's client sends a bid and, being impatient, the same to another VM.

    Both VMs would run it. The key has one home, which runs it once and gives
    every copy the same answer, also later.
    """

    async def scenario(site: Site) -> None:
        key = "bid-17" if plain else site.mint(0)
        responses: list[Response] = []

        async def send(vm: int) -> None:
            responses.append(await site.bid(vm, key=key))

        async with trio.open_nursery() as nursery:
            for copy in range(10):
                nursery.start_soon(send, copy % 2)
        await send(0)
        await send(1)
        assert [outcome(response) for response in responses] == ["done"] * 12
        assert site.executed == 1
        assert site.violations() == []

    run_site(scenario)


def test_a_vm_that_does_not_know_a_service_says_nothing_of_an_earlier_copy() -> None:
    """Guards against "not run" for a bid that ran at a VM whose settings name its service."""

    async def scenario(site: Site) -> None:
        key = site.mint(0)
        assert outcome(await site.bid(0, key=key)) == "done"
        response = await site.bid(1, key=key)
        assert (response.status, outcome(response)) == (404, "unknown")
        without_key = await site.bid(1, key=None)
        assert (without_key.status, outcome(without_key)) == (404, "not-run")
        assert site.violations() == []

    run_site(scenario, second_settings=ServiceSettings(services=()))


def test_a_home_that_is_gone_makes_the_answer_unknown() -> None:
    """The VM that ran a bid dies before the dealer hears of it; the dealer asks another VM.

    No copy of the answer reached the other VM, so it can't know what ran. It
    must not run the bid, nor say "not run".
    """

    async def scenario(site: Site) -> None:
        site.network.loss = 1.0
        keys = [site.mint(0), "bid-18"]
        for key in keys:
            assert outcome(await site.bid(0, key=key)) == "done"
        site.vms[0].scope.cancel()
        for key in keys:
            response = await site.bid(1, key=key)
            assert (outcome(response), reason(response)) == ("unknown", "home-unreachable")
            assert response.headers.get(RETRY_AFTER_HEADER) is not None
        assert site.executed == 2
        assert site.violations() == []

    run_site(scenario)


def test_a_repeat_outlives_its_home() -> None:
    """A bid was answered and its home is gone when the dealer asks again, or for another lot."""

    async def scenario(site: Site) -> None:
        for key in (site.mint(0), "bid-19"):
            first = await site.bid(0, key=key)
            again = await site.bid(1, key=key)
            assert (outcome(first), first.body) == ("done", again.body)
        site.vms[0].scope.cancel()
        repeat = await site.bid(1, key="bid-19")
        assert (outcome(repeat), repeat.body) == ("done", first.body)
        other = await site.bid(1, key="bid-19", body=b'{"lot": 9}')
        assert (other.status, outcome(other)) == (422, "not-run")
        assert site.executed == 2
        assert site.violations() == []

    run_site(scenario)


def test_a_platform_outage_stops_plain_keys_only() -> None:
    """The platform is down: plain keys can't be bound, and nothing runs on a guess.

    Keys that name their home, and plain keys bound before, go on as usual.
    """

    async def scenario(site: Site) -> None:
        assert outcome(await site.bid(0, key="bid-1")) == "done"
        site.platform.inject(PlatformFault(kind=PlatformFaultKind.DOWN))
        response = await site.bid(0, key="bid-2")
        assert (outcome(response), reason(response)) == ("unknown", "platform-down")
        assert response.headers.get(RETRY_AFTER_HEADER) is not None
        assert outcome(await site.bid(0, key="bid-1")) == "done"
        assert outcome(await site.bid(1, key=site.mint(0))) == "done"
        assert site.executed == 2
        site.platform.inject(PlatformFault(kind=PlatformFaultKind.UP))
        assert outcome(await site.bid(1, key="bid-2")) == "done"
        assert site.executed == 3
        assert site.violations() == []

    run_site(scenario)


def test_a_claim_whose_answer_is_lost_is_found_out() -> None:
    """The platform applies a claim and loses its answer; the bid runs, and once."""

    async def scenario(site: Site) -> None:
        assert outcome(await site.bid(0, key="bid-1")) == "done"
        site.platform.inject(PlatformFault(kind=PlatformFaultKind.LOSE_ANSWERS, count=1))
        assert outcome(await site.bid(0, key="bid-2")) == "done"
        assert outcome(await site.bid(1, key="bid-2")) == "done"
        assert site.executed == 2
        assert site.violations() == []

    run_site(scenario)


def test_claims_that_wait_together_share_a_transaction() -> None:
    async def scenario(site: Site) -> None:
        assert outcome(await site.bid(0, key="first")) == "done"
        before = site.platform.calls[etcd_wire.TXN_PATH]
        slow = PlatformFault(kind=PlatformFaultKind.SLOW, delay_s=0.3)
        site.platform.inject(slow)
        async with trio.open_nursery() as nursery:
            for number in range(20):
                nursery.start_soon(lambda n=number: site.bid(0, key=f"bid-{n}"))
        calls = site.platform.calls[etcd_wire.TXN_PATH] - before
        assert calls <= 3
        assert site.executed == 21

    run_site(scenario)


def test_another_body_under_a_used_key_is_refused() -> None:
    async def scenario(site: Site) -> None:
        key = site.mint(0)
        assert outcome(await site.bid(0, key=key)) == "done"
        response = await site.bid(1, key=key, body=b'{"lot": 8}')
        assert (response.status, outcome(response)) == (422, "not-run")
        assert KEY_HEADER in json.loads(response.body)["error"]["message"]
        assert site.executed == 1
        assert site.violations() == []

    run_site(scenario)
