"""The platform's port by etcd's JSON gateway, against the stand-in and its faults."""

from __future__ import annotations

import contextlib

import logbook
import pytest
import trio
from hypothesis import given, settings
from hypothesis import strategies as st

from lagoonlever.exceptions import ConfigurationError, PlatformAnswerLost, PlatformUnavailable
from lagoonlever.http.messages import Address
from lagoonlever.http.server import open_listeners, serve_http
from lagoonlever.http.server_limits import ServerLimits, ServerState
from lagoonlever.store.etcd_json import EtcdPlatform
from lagoonlever.store.etcd_wire import (
    TXN_PATH,
    WireVm,
)
from lagoonlever.store.events import PLATFORM_REACHED, PLATFORM_UNREACHABLE
from lagoonlever.store.port import (
    ABSENT,
    MAX_VALUE_BYTES,
    ChangeRefused,
    Conflict,
    Lapsed,
    LeaseLapsed,
    NewKey,
    Renewed,
    Swapped,
    VmRole,
    VmState,
)
from lagoonlever.store.registry import open_platform
from lagoonlever.tests.base import at
from lagoonlever.tests.store_base import KEYS, next_changes, with_platform


def test_compare_and_swap_applies_only_at_the_expected_revision():
    async def scenario(running):
        first = await running.port.compare_and_swap("/a", expected_revision=ABSENT, value=b"1")
        assert isinstance(first, Swapped)
        conflict = await running.port.compare_and_swap("/a", expected_revision=ABSENT, value=b"2")
        assert isinstance(conflict, Conflict)
        assert (conflict.current.value, conflict.current.revision) == (b"1", first.revision)
        second = await running.port.compare_and_swap(
            "/a", expected_revision=first.revision.number, value=b"2"
        )
        read = await running.port.get_prefix("/")
        assert [(each.key, each.value) for each in read.entries] == [("/a", b"2")]
        assert read.revision == second.revision
        gone = await running.port.compare_and_swap(
            "/a", expected_revision=second.revision.number, value=None
        )
        assert isinstance(gone, Swapped)
        assert (await running.port.get("/a")).entry is None

    with_platform(scenario)


def test_a_claim_creates_what_is_absent_and_reads_the_rest_in_one_call():
    async def scenario(running):
        await running.port.claim([NewKey(key="/b", value=b"other")])
        before = running.fake.calls[TXN_PATH]
        result = await running.port.claim([NewKey(key=key, value=b"mine") for key in KEYS])
        assert running.fake.calls[TXN_PATH] == before + 1
        assert [each.created for each in result.keys] == [True, False, True]
        assert result.keys[1].holder.value == b"other"
        assert running.stored() == {"/a": b"mine", "/b": b"other", "/c": b"mine"}

    with_platform(scenario)


FAULTS = st.sampled_from(["up", "down", "lose_answers"])


@settings(max_examples=30, deadline=None)
@given(st.lists(st.tuples(FAULTS, st.sampled_from(KEYS), st.integers(0, 2)), max_size=25))
def test_a_failed_change_tells_truly_whether_it_was_applied(steps):
    """The platform goes down, or cuts the connection after a change took effect.

    A writer is told "unavailable" and believes that nothing changed, or "answer
    lost" and reads back: the store must never contradict what it was told.
    """

    async def scenario(running):
        known = {}
        for number, (fault, key, kind) in enumerate(steps):
            running.fault("up")
            read = (await running.port.get(key)).entry
            running.fault(fault)
            value = b"%d" % number
            expected = ABSENT if read is None or kind == 0 else read.revision.number
            should_apply = (read is None) == (expected == ABSENT)
            try:
                result = await running.port.compare_and_swap(
                    key, expected_revision=expected, value=value
                )
                assert isinstance(result, Swapped) == should_apply
                applied = should_apply
            except PlatformUnavailable:
                assert fault == "down"
                applied = False
            except PlatformAnswerLost:
                assert fault == "lose_answers"
                applied = should_apply
            if applied:
                known[key] = value
            assert running.stored() == known

    with_platform(scenario)


def test_a_slow_platform_applies_a_change_after_its_writer_gave_up():
    """The call times out, so the writer is told that the change may have been applied.

    It is applied later, when the writer has gone: "unavailable" would have been false.
    """

    async def scenario(running):
        watch = running.port.watch("/", after_revision=at(running.fake.store.revision))
        await watch.next()
        running.fault("slow", delay_s=2)
        impatient = EtcdPlatform(addresses=[running.address], timeout_s=0.3)
        with pytest.raises(PlatformAnswerLost):
            await impatient.compare_and_swap("/a", expected_revision=ABSENT, value=b"late")
        assert running.stored() == {}
        assert await next_changes(watch) == [("/a", b"late")]
        await watch.aclose()

    with_platform(scenario)


def test_a_lapsed_lease_takes_its_keys_and_can_write_no_more():
    """A holder is paused past its lease, wakes, and still believes that it is in charge."""

    async def scenario(running):
        lease = await running.port.grant_lease(5)
        renewed = await running.port.keep_alive(lease)
        assert renewed == Renewed(ttl_s=5)
        await running.port.claim([NewKey(key="/holder", value=b"me", lease=lease.id)])
        watch = running.port.watch("/", after_revision=at(running.fake.store.revision))
        await watch.next()
        running.fake.store.expire(now=trio.current_time() + 6)
        assert await next_changes(watch) == [("/holder", None)]
        assert await running.port.keep_alive(lease) == Lapsed()
        with pytest.raises(LeaseLapsed):
            await running.port.compare_and_swap(
                "/holder", expected_revision=ABSENT, value=b"me", lease=lease.id
            )
        await running.port.revoke(lease)
        assert running.stored() == {}
        await watch.aclose()

    with_platform(scenario)


def test_a_value_may_have_a_megabyte_and_no_more():
    async def scenario(running):
        assert isinstance(await running.put("/a", b"x" * MAX_VALUE_BYTES), Swapped)
        with pytest.raises(ChangeRefused):
            await running.put("/b", b"x" * (MAX_VALUE_BYTES + 1))
        assert list(running.stored()) == ["/a"]

    with_platform(scenario)


def test_the_list_of_vms_is_typed_and_fails_like_the_rest():
    async def scenario(running):
        running.fake.set_vms(
            [
                WireVm(
                    name="e1",
                    address="127.0.0.1:1",
                    data_center="d1",
                    role="engine",
                    state="leaving",
                )
            ]
        )
        (listed,) = await running.port.list_vms()
        assert (listed.role, listed.state) == (VmRole.ENGINE, VmState.LEAVING)
        running.fault("down")
        with pytest.raises(PlatformUnavailable):
            await running.port.list_vms()

    with_platform(scenario)


def test_an_outage_is_logged_once_and_so_is_its_end():
    async def scenario(running):
        with logbook.TestHandler() as logged:
            for fault in ("down", "down", "up", "up"):
                running.fault(fault)
                with contextlib.suppress(PlatformUnavailable):
                    await running.port.get("/a")
        events = [record.extra["event"] for record in logged.records]
        assert events == [PLATFORM_UNREACHABLE, PLATFORM_REACHED]

    with_platform(scenario)


def test_a_read_survives_idle_connections_that_a_restart_closed():
    async def scenario(running):
        async with trio.open_nursery() as nursery:
            listeners = await open_listeners(host="127.0.0.1", port=0)
            port = listeners[0].socket.getsockname()[1]
            scope = trio.CancelScope()

            async def first_life():
                with scope:
                    await running.fake.run(listeners)

            nursery.start_soon(first_life)
            client = EtcdPlatform(addresses=[Address(host="127.0.0.1", port=port)])
            await client.get("/a")
            scope.cancel()
            with contextlib.suppress(OSError):
                listeners = await open_listeners(host="127.0.0.1", port=port)
            nursery.start_soon(running.fake.run, listeners)
            assert (await client.get("/a")).entry is None
            await client.aclose()
            nursery.cancel_scope.cancel()

    with_platform(scenario)


def test_an_unknown_adapter_names_the_known_ones():
    with pytest.raises(ConfigurationError, match="etcd-json"):
        open_platform("other", addresses=[])


def test_an_unreadable_answer_is_told_of_its_server_and_another_is_read():
    """A proxy before one of the platform's servers answers every call with its own page.

    A read goes on to the next server. A change may have been applied behind that
    page: it must not be tried elsewhere, and the operator needs the server's address.
    """

    async def page(exchange):
        await exchange.respond_json(status=200, payload="welcome")

    async def scenario(running):
        listeners = await open_listeners(host="127.0.0.1", port=0)
        strange = Address(host="127.0.0.1", port=listeners[0].socket.getsockname()[1])
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                lambda: serve_http(
                    handler=page, listeners=listeners, limits=ServerLimits(), state=ServerState()
                )
            )
            port = EtcdPlatform(addresses=[strange, running.address], timeout_s=30.0)
            with pytest.raises(PlatformAnswerLost) as caught:
                await port.compare_and_swap("/a", expected_revision=ABSENT, value=b"1")
            assert caught.value.peer == str(strange)
            assert running.stored() == {}
            assert (await port.get("/a")).entry is None
            await port.aclose()
            nursery.cancel_scope.cancel()

    with_platform(scenario)
