"""``lagoonlever orders`` against a whole VM; the wanted states under races and losses."""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable

import attrs
import pytest
import trio
from typer.testing import CliRunner, Result

from lagoonlever.commands import admin_client
from lagoonlever.commands.exit_codes import ExitCode
from lagoonlever.commands.orders import app
from lagoonlever.commands.orders_client import OrdersClient
from lagoonlever.commands.orders_edits import WantedOptions, edits_of_options
from lagoonlever.commands.orders_print import change_lines
from lagoonlever.decisions.orders.orders import WantedState
from lagoonlever.decisions.orders.wanted import (
    WantedConflict,
    WantedEdit,
    WantedNotStored,
    WantedStored,
    WantedUndetermined,
)
from lagoonlever.decisions.targets.targets import ModelKey
from lagoonlever.entry.admin.orders_messages import OrdersChangeAsked
from lagoonlever.entry.orders import store as orders_store
from lagoonlever.entry.orders.orders import OrderSettings
from lagoonlever.entry.orders.store import WantedStore
from lagoonlever.exceptions import ConnectionBroken
from lagoonlever.fakes.cluster import EmbeddedCluster
from lagoonlever.fakes.platform import FakePlatform, PlatformFault, PlatformFaultKind
from lagoonlever.http.messages import Address
from lagoonlever.http.server import open_listeners
from lagoonlever.store.etcd_json import EtcdPlatform
from lagoonlever.tests.base import LIMIT_S, POLL_S

SOON = OrderSettings(lease_s=4.0, wanted_period_s=0.2, loads_per_minute=10_000.0)
V1, V2, V3 = (
    WantedState(models=(ModelKey(name="summary", version=version),))
    for version in ("v1", "v2", "v3")
)

Cli = Callable[..., Result]


def run(use: Callable[[Cli, Address], None]) -> None:
    """Run two engines and a VM, and use the command line in a thread."""

    async def main() -> None:
        with trio.fail_after(LIMIT_S):
            async with trio.open_nursery() as nursery:
                cluster = EmbeddedCluster(
                    nursery=nursery, adjust=lambda each: attrs.evolve(each, orders=SOON)
                )
                await cluster.start(engines=2, vms=1)
                address = cluster.vms["vm-1"].daemon.address

                def cli(*arguments: str) -> Result:
                    env = {"LAGOONLEVER_ADDRESS": str(address), "COLUMNS": "200"}
                    return CliRunner().invoke(app, [*arguments], env=env)

                await trio.to_thread.run_sync(use, cli, address)
                nursery.cancel_scope.cancel()

    trio.run(main)


def until_shown(cli: Cli, condition: Callable[[dict], bool]) -> dict:
    while True:
        shown = json.loads(cli("show", "--json").stdout)
        if condition(shown):
            return shown
        trio.from_thread.run(trio.sleep, POLL_S)


def test_a_version_is_rolled_out_and_an_engine_drained() -> None:
    def use(cli: Cli, address: Address) -> None:
        assert "left alone" in cli("show").output
        stored = cli("set", "engine-1", "--model", "summary@v2", "--model", "summary@v2:lots")
        assert stored.exit_code == ExitCode.OK, stored.output

        def loaded(shown: dict) -> bool:
            report = shown["engines"][0]["report"]
            return {"name": "summary", "version": "v2", "adapter": "lots"} in report["actual"][
                "models"
            ]

        shown = until_shown(cli, loaded)
        assert shown["holder"] == {
            "vm": "vm-1",
            "fencing": shown["engines"][0]["report"]["fencing"],
        }
        assert shown["engines"][1]["wanted"] is None
        drained = json.loads(cli("set", "engine-1", "--drain", "--json").stdout)
        assert drained["tag"] == "stored" and drained["made"]
        shown = until_shown(cli, lambda shown: shown["engines"][0]["report"]["wanted"]["draining"])
        assert len(shown["engines"][0]["wanted"]["models"]) == 2
        assert "draining" in cli("show").output and "vm-1 gives orders" in cli("show").output
        assert "nothing to change" in cli("set", "engine-1", "--drain").output
        assert cli("set", "--all", "--model", "summary@v3", "--no-drain").exit_code == ExitCode.OK
        assert cli("set", "engine-2", "--release").exit_code == ExitCode.OK
        engines = json.loads(cli("show", "--json").stdout)["engines"]
        assert [bool(each["wanted"]) for each in engines] == [True, False]

    run(use)


def test_faults_are_told_together_and_races_name_the_engine() -> None:
    def use(cli: Cli, address: Address) -> None:
        wrong = cli("set", "engine-1", "--model", "summary", "--model", "a@b:c:d")
        assert wrong.exit_code == ExitCode.FAULTS
        assert "'summary' is not" in wrong.output and "'a@b:c:d' is not" in wrong.output
        assert cli("set", "engine-1").exit_code == ExitCode.USAGE
        assert cli("set", "--drain").exit_code == ExitCode.USAGE
        assert "state its models" in cli("set", "--all", "--drain").output
        wrong = cli("set", "engine-9", "--model", "summary@v2:lots", "--role", "Both !")
        assert wrong.exit_code == ExitCode.FAULTS
        for fault in ("engine-9: is no engine", "engine-9.role", "needs its model summary@v2"):
            assert fault in wrong.output
        client = OrdersClient(address=address)
        shown = trio.run(client.show)
        assert cli("set", "engine-1", "--model", "summary@v3").exit_code == ExitCode.OK
        stale = cli("set", "engine-1", "--drain", "--expect", str(shown.revision))
        assert stale.exit_code == ExitCode.NOT_RUN and "conflict" in stale.output
        edits = edits_of_options(shown, ["engine-1"], WantedOptions(models=V2.models))
        told = trio.run(client.change, OrdersChangeAsked(author="second", edits=edits))
        lines = "\n".join(change_lines(told))
        assert "engine-1: you saw (left alone), now summary@v3" in lines
        assert "summary@v3" in cli("show").output

    run(use)


def with_store(
    story: Callable[[WantedStore, FakePlatform], Awaitable[None]], *, read_back_limit_s: float = 10
) -> None:
    async def main() -> None:
        with trio.fail_after(LIMIT_S):
            async with trio.open_nursery() as nursery:
                stand_in = FakePlatform()
                listeners = await open_listeners(host="127.0.0.1", port=0)
                nursery.start_soon(stand_in.run, listeners)
                port = listeners[0].socket.getsockname()[1]
                platform = EtcdPlatform(addresses=(Address(host="127.0.0.1", port=port),))
                store = WantedStore(platform=platform, read_back_limit_s=read_back_limit_s)
                await story(store, stand_in)
                nursery.cancel_scope.cancel()

    trio.run(main)


def edit(engine: str, expected: WantedState | None, wanted: WantedState | None) -> WantedEdit:
    return WantedEdit(engine=engine, expected=expected, wanted=wanted)


@pytest.mark.parametrize("checked", [True, False])
def test_of_two_operators_the_second_is_told(
    checked: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Two operators look, the first rolls out v2, the second v3, and v2 vanishes unseen.

    Cause: a write that only names the revision it was made of merges anything.
    """

    async def story(store: WantedStore, _: FakePlatform) -> None:
        first = await store.change([edit("a", None, V2)])
        assert isinstance(first, WantedStored) and first.made
        other = await store.change([edit("b", None, V1)])
        assert isinstance(other, WantedStored)
        second = await store.change([edit("a", None, V3)])
        assert isinstance(second, WantedConflict) is checked
        assert ((await store.read()).document.engines == {"a": V2, "b": V1}) is checked

    if not checked:
        monkeypatch.setattr(orders_store, "find_conflicts", lambda document, edits: ())
    with_store(story)


def test_a_lost_answer_is_found_out() -> None:
    """An operator is told that nothing was stored, though the platform took the change.

    Order: the write, its effect, the connection's end. Cause: the lost answer is
    taken for a refusal.
    """

    async def story(store: WantedStore, stand_in: FakePlatform) -> None:
        stand_in.inject(PlatformFault(kind=PlatformFaultKind.LOSE_ANSWERS, count=1))
        stored = await store.change([edit("a", None, V1)])
        assert isinstance(stored, WantedStored) and stored.made
        assert stored.revision == (await store.read()).revision
        again = await store.change([edit("a", None, V1)])
        assert again == WantedStored(revision=stored.revision, made=False)

    with_store(story)


@pytest.mark.parametrize(("replaced", "tag"), [(False, "stored"), (True, "undetermined")])
def test_a_change_that_was_replaced_after_its_lost_answer_is_not_said_to_be_unstored(
    replaced: bool, tag: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The answer to a set is lost on its way to the operator, and somebody else sets another state.

    Cause: the change is sent again, meets the other's state, and reads as a
    conflict before which nothing had been stored; engines may have begun to load.
    """
    fetch = admin_client.fetch

    def use(cli: Cli, address: Address) -> None:
        client = OrdersClient(address=address)
        shown = trio.run(client.show)
        first, second = (
            OrdersChangeAsked(
                author="x",
                edits=edits_of_options(shown, ["engine-1"], WantedOptions(models=state.models)),
            )
            for state in (V2, V3)
        )

        async def lose_first(*arguments: object, **options: object) -> object:
            monkeypatch.setattr(admin_client, "fetch", fetch)
            await fetch(*arguments, **options)
            if replaced:
                released = attrs.evolve(first.edits[0], expected=V2, wanted=None)
                await client.change(OrdersChangeAsked(author="x", edits=(released,)))
                await client.change(second)
            raise ConnectionBroken("cut", step="test", peer=str(address))

        monkeypatch.setattr(admin_client, "fetch", lose_first)
        assert trio.run(client.change, first).tag == tag

    run(use)


def test_in_an_outage_nothing_is_stored_or_it_is_said_not_to_be_known(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The platform goes down, for one writer before its write, for another right after it."""
    swap = EtcdPlatform.compare_and_swap

    async def story(store: WantedStore, stand_in: FakePlatform) -> None:
        async def swap_and_go_down(*arguments: object, **options: object) -> object:
            try:
                return await swap(*arguments, **options)
            finally:
                stand_in.inject(PlatformFault(kind=PlatformFaultKind.DOWN))

        stand_in.inject(PlatformFault(kind=PlatformFaultKind.DOWN))
        assert isinstance(await store.change([edit("a", None, V1)]), WantedNotStored)
        stand_in.inject(PlatformFault(kind=PlatformFaultKind.UP))
        assert (await store.read()).document.engines == {}
        stand_in.inject(PlatformFault(kind=PlatformFaultKind.LOSE_ANSWERS, count=1))
        monkeypatch.setattr(EtcdPlatform, "compare_and_swap", swap_and_go_down)
        assert isinstance(await store.change([edit("a", None, V1)]), WantedUndetermined)
        stand_in.inject(PlatformFault(kind=PlatformFaultKind.UP))
        assert (await store.read()).document.engines == {"a": V1}

    with_store(story, read_back_limit_s=0.0)
