"""Calls of application services through two VMs in one process, over real sockets."""

from __future__ import annotations

import json
import random
from collections.abc import Awaitable, Callable

import attrs
import pytest
import trio

from lagoonlever.decisions.claims_keys import KEY_HEADER
from lagoonlever.decisions.membership import Member, MemberState, MemberView
from lagoonlever.decisions.targets import Target, TargetKind
from lagoonlever.entry.published import Published
from lagoonlever.entry.services import ServiceRouter
from lagoonlever.entry.services_pauses import DOUBT_S, PauseWatch
from lagoonlever.entry.services_settings import ServiceSettings
from lagoonlever.fakes.application import ApplicationOptions, FakeApplication
from lagoonlever.fakes.entry_parts import FixedTargets
from lagoonlever.fakes.faults import FaultKind, FaultOrder
from lagoonlever.fakes.platform import FakePlatform, PlatformFault, PlatformFaultKind
from lagoonlever.history.checkers import Violation, at_most_once, not_run
from lagoonlever.history.events import HistoryEvent
from lagoonlever.history.events_services import CallerToldOfCall
from lagoonlever.history.events_targets import ServiceExecuted
from lagoonlever.http.client import Response, fetch
from lagoonlever.http.messages import Address, Headers
from lagoonlever.http.server import ServerLimits, ServerState, open_listeners, serve_http
from lagoonlever.identity import Incarnation
from lagoonlever.outcomes import OUTCOME_HEADER, REASON_HEADER, RETRY_AFTER_HEADER
from lagoonlever.peers.local_bus import LocalBus, LocalNetwork
from lagoonlever.platform import etcd_wire
from lagoonlever.platform.etcd_json import EtcdPlatform
from lagoonlever.timers import TimerService

TEST_TIMEOUT_S = 60.0
FETCH_TIMEOUT_S = 30.0
HOST = "127.0.0.1"
BID = b'{"lot": 7, "eur": 4100}'
BIDS = "/services/application/bids"


class RefusingTargets(FixedTargets):
    """Targets that all began to leave after they were chosen."""

    def check_before_dispatch(self, target: Target) -> bool:
        return False


@attrs.define(kw_only=True)
class Vm:
    """One VM's service router behind its HTTP server."""

    incarnation: Incarnation
    address: Address
    router: ServiceRouter
    scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)


@attrs.define(kw_only=True)
class Site:
    """Two VMs, their runners and their platform; notes what callers are told."""

    platform: FakePlatform
    apps: list[FakeApplication]
    vms: list[Vm]
    network: LocalNetwork
    told: list[HistoryEvent] = attrs.field(factory=list)

    async def bid(
        self, vm: int, *, key: str | None, body: bytes = BID, left_s: float | None = None
    ) -> Response:
        """Send one copy of a bid; its name in the history is its key and body."""
        headers = Headers()
        if key is not None:
            headers = headers.with_field(KEY_HEADER, key)
        if left_s is not None:
            headers = headers.with_field("Lagoonlever-Deadline-S", str(left_s))
        response = await fetch(
            self.vms[vm].address,
            method="POST",
            path=BIDS,
            headers=headers,
            body=body,
            step="bid",
            timeout_s=FETCH_TIMEOUT_S,
        )
        told = CallerToldOfCall(
            at=trio.current_time(),
            process="caller",
            caller="dealer",
            request=str(key) if body == BID else f"{key} with another body",
            tag=outcome(response),
            status=response.status,
            body=response.body.decode(),
        )
        self.told.append(told)
        return response

    async def look_up(self, vm: int, item: str = "/lots/5") -> Response:
        """Send one lookup."""
        path = f"/services/application{item}"
        address = self.vms[vm].address
        return await fetch(address, path=path, step="look up", timeout_s=FETCH_TIMEOUT_S)

    def mint(self, vm: int) -> str:
        """Mint a key whose home is this VM."""
        home = self.vms[vm].router.key_home
        return str(home.mint(random=f"{random.getrandbits(64):016x}"))

    @property
    def executed(self) -> int:
        """The number of executions at all runners."""
        counts = [app.executions for app in self.apps]
        return sum(sum(count.by_key.values()) + count.without_key for count in counts)

    def violations(self) -> list[Violation]:
        """Check the history of what callers were told and runners executed."""
        executed = [
            ServiceExecuted(
                at=0.0, process=f"a{index}", target=f"a{index}", key=key, operation="POST /bids"
            )
            for index, app in enumerate(self.apps)
            for key, count in app.executions.by_key.items()
            for _ in range(count)
        ]
        events = [*executed, *self.told]
        return [*at_most_once.check(events), *not_run.check(events)]


def outcome(response: Response) -> str:
    return response.headers.get(OUTCOME_HEADER) or ""


def reason(response: Response) -> str:
    return response.headers.get(REASON_HEADER) or ""


Scenario = Callable[[Site], Awaitable[None]]


def run_site(
    scenario: Scenario,
    *,
    apps: int = 3,
    options: ApplicationOptions | None = None,
    settings: ServiceSettings | None = None,
    fixed: type[FixedTargets] = FixedTargets,
    extra_targets: tuple[Address, ...] = (),
) -> None:
    """Run a scenario against a fresh site."""
    platform = FakePlatform()
    runners = [FakeApplication(options=options or ApplicationOptions()) for _ in range(apps)]
    settings = settings or ServiceSettings()

    async def main() -> None:
        with trio.fail_after(TEST_TIMEOUT_S):
            async with trio.open_nursery() as nursery:
                platform_address = await start(nursery, platform.run)
                app_addresses = [await start(nursery, app.run) for app in runners]
                targets = fixed(targets=targets_at((*app_addresses, *extra_targets)))
                network = LocalNetwork(random=random.Random(1))
                vms = await start_vms(nursery, targets, platform_address, settings, network)
                await scenario(Site(platform=platform, apps=runners, vms=vms, network=network))
                nursery.cancel_scope.cancel()

    trio.run(main)


async def start(
    nursery: trio.Nursery, serve: Callable[[list[trio.SocketListener]], Awaitable[None]]
) -> Address:
    listeners = await open_listeners(host=HOST, port=0)
    nursery.start_soon(serve, listeners)
    return Address(host=HOST, port=listeners[0].socket.getsockname()[1])


def targets_at(addresses: tuple[Address, ...]) -> tuple[Target, ...]:
    return tuple(
        Target(name=f"a{index}", address=address, kind=TargetKind.APPLICATION)
        for index, address in enumerate(addresses)
    )


async def start_vms(
    nursery: trio.Nursery,
    targets: FixedTargets,
    platform: Address,
    settings: ServiceSettings,
    network: LocalNetwork,
) -> list[Vm]:
    listeners = [await open_listeners(host=HOST, port=0) for _ in range(2)]
    addresses = [Address(host=HOST, port=ls[0].socket.getsockname()[1]) for ls in listeners]
    owns = [Incarnation(name=f"vm{index}", started_ms=1, nonce=index) for index in range(2)]
    members = tuple(
        Member(
            incarnation=own,
            data_center="dc1",
            http=address,
            peers=address,
            state=MemberState.ALIVE,
        )
        for own, address in zip(owns, addresses, strict=True)
    )
    vms: list[Vm] = []
    for own, address, listening in zip(owns, addresses, listeners, strict=True):
        router = ServiceRouter(
            own=own,
            guard=targets,
            members=Published(MemberView(members=members, own=own)),
            platform=EtcdPlatform(addresses=[platform]),
            timers=TimerService(),
            settings=settings,
            rng=random.Random(1),
            bus=LocalBus(own=own, address=address, network=network),
        )
        vm = Vm(incarnation=own, address=address, router=router)
        nursery.start_soon(serve_vm, vm, listening)
        vms.append(vm)
    return vms


async def serve_vm(vm: Vm, listeners: list[trio.SocketListener]) -> None:
    with vm.scope:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(vm.router.run)
            await serve_http(
                handler=vm.router.handle,
                listeners=listeners,
                limits=ServerLimits(),
                state=ServerState(),
            )


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


async def close_at_once(listeners: list[trio.SocketListener]) -> None:
    async def serve(stream: trio.SocketStream) -> None:
        await stream.aclose()

    await trio.serve_listeners(serve, listeners)


async def close_after_reading(listeners: list[trio.SocketListener]) -> None:
    async def serve(stream: trio.SocketStream) -> None:
        await stream.receive_some(10)
        await stream.aclose()

    await trio.serve_listeners(serve, listeners)


@pytest.mark.parametrize("runner", [close_at_once, close_after_reading])
@pytest.mark.parametrize("keyed", [True, False])
def test_a_connection_that_breaks_once_open_makes_the_answer_unknown(
    runner: Callable[[list[trio.SocketListener]], Awaitable[None]], keyed: bool
) -> None:
    """The runner's connection breaks while the bid is written, or is read half.

    Nobody can tell whether it ran, so it is not sent to the runner that is well.
    """

    async def scenario(site: Site) -> None:
        async with trio.open_nursery() as nursery:
            address = await start(nursery, runner)
            broken = FixedTargets(targets=targets_at((address,)))
            vms = await start_vms(nursery, broken, address, ServiceSettings(), site.network)
            site.vms[:] = vms
            key = site.mint(0) if keyed else None
            response = await site.bid(0, key=key)
            assert (outcome(response), reason(response)) == ("unknown", "connection-lost")
            if keyed:
                again = await site.bid(1, key=key)
                assert again.body == response.body
            nursery.cancel_scope.cancel()

    run_site(scenario, apps=0)


def test_an_answer_that_is_lost_is_unknown_for_good() -> None:
    """The runner executes the bid and its answer is lost; the dealer's client retries."""

    async def scenario(site: Site) -> None:
        key = site.mint(0)
        site.apps[0].inject(FaultOrder(kind=FaultKind.DROP_ANSWER))
        for vm in (0, 1, 0):
            assert outcome(await site.bid(vm, key=key)) == "unknown"
        assert site.executed == 1
        assert site.violations() == []

    run_site(scenario, apps=1)


def test_a_runner_that_refuses_connections_costs_nothing_but_another_try() -> None:
    """A runner is gone and not yet off the list: its port refuses, another runner takes the bid."""

    async def scenario(site: Site) -> None:
        for _ in range(5):
            assert outcome(await site.bid(0, key=site.mint(0))) == "done"
        assert site.executed == 5
        assert site.violations() == []

    run_site(scenario, apps=1, extra_targets=(Address(host=HOST, port=1),))


def test_with_no_runner_at_all_it_is_not_run() -> None:
    async def scenario(site: Site) -> None:
        key = site.mint(0)
        response = await site.bid(0, key=key)
        assert (outcome(response), reason(response)) == ("not-run", "no-target")
        assert response.headers.get(RETRY_AFTER_HEADER) is not None
        assert outcome(await site.bid(1, key=key)) == "not-run"

    run_site(scenario, apps=0, extra_targets=(Address(host=HOST, port=1),))


def test_targets_that_began_to_leave_get_nothing() -> None:
    """The runner is listed as leaving between the choice and the write."""

    async def scenario(site: Site) -> None:
        assert outcome(await site.bid(0, key=site.mint(0))) == "not-run"
        assert outcome(await site.look_up(0)) != "done"
        assert site.executed == 0

    run_site(scenario, fixed=RefusingTargets)


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


def test_a_bid_past_its_deadline_is_not_sent_then_or_later() -> None:
    """A bid arrives when its auction is over; a copy of it without haste arrives after.

    The caller was told "not run", so the later copy must not run either.
    """

    async def scenario(site: Site) -> None:
        key = site.mint(0)
        response = await site.bid(0, key=key, left_s=0.0)
        assert (outcome(response), reason(response)) == ("not-run", "deadline")
        assert outcome(await site.bid(1, key=key)) == "not-run"
        assert site.executed == 0

    run_site(scenario)


def test_a_wrong_deadline_says_nothing_of_an_earlier_copy() -> None:
    """A bid has run; a copy of it with a broken deadline must not be told "not run"."""

    async def scenario(site: Site) -> None:
        key = site.mint(0)
        assert outcome(await site.bid(0, key=key)) == "done"
        response = await site.bid(1, key=key, left_s=float("nan"))
        assert (response.status, outcome(response)) == (400, "unknown")
        assert (await site.bid(1, key=None, left_s=float("nan"))).status == 400
        assert site.violations() == []

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


def test_a_frozen_runner_stalls_no_lookups() -> None:
    """One of three runners freezes; clerks' lookups are answered by the others in time."""

    async def scenario(site: Site) -> None:
        site.apps[0].inject(FaultOrder(kind=FaultKind.FREEZE))
        for item in range(60):
            assert outcome(await site.look_up(0, f"/prices/{item}")) == "done"
        counts = site.vms[0].router.lookup_counts
        assert counts.extra_attempts <= 15
        assert counts.unanswered == 0

    run_site(scenario)


def test_lookups_over_kept_connections_that_close_are_sent_again() -> None:
    """A runner closes an idle connection just as a lookup is written to it."""

    async def scenario(site: Site) -> None:
        for _ in range(4):
            assert outcome(await site.look_up(0)) == "done"
        for app in site.apps:
            app.inject(FaultOrder(kind=FaultKind.CLOSE_IDLE))
        assert outcome(await site.look_up(0)) == "done"

    run_site(scenario)


def test_time_spent_in_a_pause_counts_against_the_deadline() -> None:
    """A VM is stopped with a bid in its socket, and reads it when it is continued.

    The bid looks new. Its time must count from the start of the pause, also
    after the timer service has noticed the pause.
    """
    now = [100.0]
    timers = TimerService(clock=lambda: now[0])
    pauses = PauseWatch(timers=timers)
    with pauses.watching():
        timers.tick()
        assert pauses.arrival_of(now[0]) == now[0]
        now[0] += 30.0
        assert pauses.arrival_of(now[0]) <= 101.0
        timers.tick()
        assert pauses.arrival_of(now[0]) <= 101.0
        for _ in range(30):
            now[0] += DOUBT_S / 20
            timers.tick()
        assert pauses.arrival_of(now[0]) == now[0]
