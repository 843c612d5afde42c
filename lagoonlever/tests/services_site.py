"""Two VMs that call application services, in one process, over real sockets."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable

import attrs
import trio

from lagoonlever.decisions.claims.keys import KEY_HEADER
from lagoonlever.decisions.membership.membership import Member, MemberState, MemberView
from lagoonlever.decisions.targets.targets import Target, TargetKind
from lagoonlever.entry.services.services import ServiceRouter
from lagoonlever.entry.services.settings import ServiceSettings
from lagoonlever.fakes.application import ApplicationOptions, FakeApplication
from lagoonlever.fakes.entry_parts import FixedTargets
from lagoonlever.fakes.platform import FakePlatform
from lagoonlever.history.checkers import Violation, at_most_once, not_run
from lagoonlever.history.events import HistoryEvent
from lagoonlever.history.events_services import CallerToldOfCall
from lagoonlever.history.events_targets import ServiceExecuted
from lagoonlever.http.client import Response, fetch
from lagoonlever.http.messages import Address, Headers
from lagoonlever.http.server import open_listeners, serve_http
from lagoonlever.http.server_limits import ServerLimits, ServerState
from lagoonlever.identity import Incarnation
from lagoonlever.outcomes import OUTCOME_HEADER, REASON_HEADER
from lagoonlever.peers.local_bus import LocalBus, LocalNetwork
from lagoonlever.published import Published
from lagoonlever.store.etcd_json import EtcdPlatform
from lagoonlever.timers import TimerService

TEST_TIMEOUT_S = 60.0
FETCH_TIMEOUT_S = 30.0
HOST = "127.0.0.1"
BID = b'{"lot": 7, "eur": 4100}'
BIDS = "/services/application/bids"


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
    second_settings: ServiceSettings | None = None,
    fixed: type[FixedTargets] = FixedTargets,
    extra_targets: tuple[Address, ...] = (),
) -> None:
    """Run a scenario against a fresh site; the second VM may have settings of its own."""
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
                vms = await start_vms(
                    nursery,
                    targets,
                    platform_address,
                    settings,
                    network,
                    second_settings=second_settings,
                )
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
    *,
    second_settings: ServiceSettings | None = None,
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
    for own, address, listening, settings_of_vm in zip(
        owns, addresses, listeners, (settings, second_settings or settings), strict=True
    ):
        router = ServiceRouter(
            own=own,
            guard=targets,
            members=Published(MemberView(members=members, own=own)),
            platform=EtcdPlatform(addresses=[platform]),
            timers=TimerService(),
            settings=settings_of_vm,
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
