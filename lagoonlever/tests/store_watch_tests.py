"""Watches by etcd's JSON gateway: cut, silent, compacted, and none of it loses a change."""

from __future__ import annotations

import contextlib
import functools

import msgspec
import pytest
import trio
from hypothesis import given, settings
from hypothesis import strategies as st

from lagoonlever.exceptions import PlatformUnavailable
from lagoonlever.http.messages import Address, Headers
from lagoonlever.http.server import open_listeners, serve_http
from lagoonlever.http.server_limits import ServerLimits, ServerState
from lagoonlever.store.etcd_servers import EtcdServers
from lagoonlever.store.etcd_watch import EtcdWatch
from lagoonlever.store.etcd_wire import (
    WATCH_PATH,
    Header,
    WatchPiece,
    WatchRequest,
    WatchResponse,
    encode,
)
from lagoonlever.store.port import (
    ABSENT,
    WatchCompacted,
)
from lagoonlever.tests.base import at
from lagoonlever.tests.store_base import KEYS, next_changes, with_platform


def test_a_watch_misses_nothing_over_cuts_and_silence():
    """A watch is cut, then stops without a word; the writer goes on meanwhile."""

    async def scenario(running):
        servers = EtcdServers(addresses=[running.address])
        watch = EtcdWatch(servers=servers, prefix="/", after_revision=at(0), silence_s=0.2)
        await running.put("/a", b"1")
        assert await next_changes(watch) == [("/a", b"1")]
        running.fault("down")
        with pytest.raises(PlatformUnavailable):
            while True:
                await watch.next()
        running.fault("up")
        await running.put("/b", b"2")
        assert await next_changes(watch) == [("/b", b"2")]
        running.fault("silence_watches")
        await running.put("/c", b"3")
        assert await next_changes(watch) == [("/c", b"3")]
        assert running.fake.calls[WATCH_PATH] >= 3
        await watch.aclose()

    with_platform(scenario)


WATCH_STEPS = st.one_of(
    st.tuples(st.just("put"), st.sampled_from(KEYS)),
    st.tuples(st.just("delete"), st.sampled_from(KEYS)),
    st.tuples(st.sampled_from(["cut_watches", "down", "silence_watches"]), st.none()),
)


@settings(max_examples=20, deadline=None)
@given(st.lists(WATCH_STEPS, max_size=20))
def test_whoever_applies_a_watch_ends_with_what_is_stored(steps):
    """Writers go on while the watch is cut, silenced and refused; its reader follows along."""

    async def scenario(running):
        copy = {}
        revisions = []
        done = trio.Event()
        servers = EtcdServers(addresses=[running.address])
        watch = EtcdWatch(servers=servers, prefix="/", after_revision=at(0), silence_s=0.1)

        async def follow():
            while "/end" not in copy:
                with contextlib.suppress(PlatformUnavailable):
                    for change in (await watch.next()).changes:
                        revisions.append(change.revision)
                        copy[change.key] = change.entry and change.entry.value
                await trio.lowlevel.checkpoint()
            done.set()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(follow)
            for number, (step, key) in enumerate(steps):
                if step == "put":
                    await running.put(key, b"%d" % number)
                elif step == "delete":
                    entry = (await running.port.get(key)).entry
                    expected = entry.revision.number if entry else ABSENT
                    await running.port.compare_and_swap(key, expected_revision=expected, value=None)
                else:
                    running.fault(step)
                    await trio.sleep(0.01)
                    running.fault("up")
            await running.put("/end", b"")
            await done.wait()
        assert {key: value for key, value in copy.items() if value is not None} == running.stored()
        assert revisions == sorted(set(revisions))
        await watch.aclose()

    with_platform(scenario)


def test_a_watch_that_was_opened_and_cut_has_seen_nothing_yet():
    """A server opens the watch at its revision 9 and dies before it tells of changes 4 to 9.

    The next server must be asked from 4 on, or these changes are lost for good.
    """

    async def main():
        asked = []

        async def serve(exchange):
            request = msgspec.json.decode(exchange.request.body, type=WatchRequest)
            asked.append(request.create_request.start_revision)
            await exchange.start_stream(status=200, headers=Headers())
            opened = WatchResponse(header=Header(revision="9"), created=True)
            await exchange.write(encode(WatchPiece(result=opened)) + b"\n")

        listeners = await open_listeners(host="127.0.0.1", port=0)
        address = Address(host="127.0.0.1", port=listeners[0].socket.getsockname()[1])
        server = functools.partial(
            serve_http,
            handler=serve,
            listeners=listeners,
            limits=ServerLimits(),
            state=ServerState(),
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(server)
            servers = EtcdServers(addresses=[address])
            watch = EtcdWatch(servers=servers, prefix="/", after_revision=at(3))
            with pytest.raises(PlatformUnavailable) as caught:
                while True:
                    await watch.next()
            assert str(caught.value).startswith(f"watch with {address}: ")
            assert str(caught.value).count(str(address)) == 1
            await watch.next()
            assert asked == ["4", "4"]
            await watch.aclose()
            nursery.cancel_scope.cancel()

    trio.run(main)


def test_without_the_guard_against_silence_a_watch_stops_for_good():
    """The same silence, with the guard off: the change is stored and never told."""

    async def scenario(running):
        servers = EtcdServers(addresses=[running.address])
        watch = EtcdWatch(servers=servers, prefix="/", after_revision=at(0), silence_s=600)
        await watch.next()
        running.fault("silence_watches")
        await running.put("/a", b"1")
        with trio.move_on_after(0.5) as scope:
            await next_changes(watch)
        assert scope.cancelled_caught
        await watch.aclose()

    with_platform(scenario)


def test_a_watch_from_before_a_compaction_says_so():
    async def scenario(running):
        for value in (b"1", b"2", b"3"):
            await running.put("/a", value)
        running.fake.store.compact(3)
        watch = running.port.watch("/", after_revision=at(1))
        with pytest.raises(WatchCompacted):
            while True:
                await watch.next()
        again = running.port.watch("/", after_revision=at(3))
        assert await next_changes(again) == [("/a", b"3")]
        await again.aclose()

    with_platform(scenario)
