"""Tests of the peer bus over real ZeroMQ sockets on the loopback interface."""

from __future__ import annotations

import signal
import subprocess
import sys
from collections.abc import Callable

import attrs
import pytest
import trio
import trio.lowlevel
import trio.testing

from lagoonlever.http.messages import Address
from lagoonlever.identity import Incarnation
from lagoonlever.peers import connection
from lagoonlever.peers.bus import PeerBus
from lagoonlever.peers.messages import PEER, Received
from lagoonlever.peers.traffic import DropReason

PATIENCE_S = 20
MANY = 200


@PEER.message("bus-test")
@attrs.frozen(kw_only=True)
class Numbered:
    number: int


def life(name: str, nonce: int) -> Incarnation:
    return Incarnation(name=name, started_ms=1_700_000_000_000, nonce=nonce)


def bus(name: str, nonce: int = 1, *, port: int = 0) -> PeerBus:
    opened = PeerBus(own=life(name, nonce), listen=Address(host="127.0.0.1", port=port))
    opened.bind()
    return opened


async def send_until(
    sender: PeerBus,
    to: PeerBus,
    number: int,
    channel: trio.MemoryReceiveChannel[Received[Numbered]],
) -> Received[Numbered]:
    """Send one message again and again until a message arrives: the bus may lose any."""
    with trio.fail_after(PATIENCE_S):
        while True:
            sender.send(to.address, Numbered(number=number))
            with trio.move_on_after(0.2):
                return await channel.receive()


async def until(condition: Callable[[], bool]) -> None:
    with trio.fail_after(PATIENCE_S):
        while not condition():  # noqa: ASYNC110 - counters tell no event
            await trio.sleep(0.01)


def handled(counts: PeerBus) -> int:
    sent = sum(count.messages for count in counts.traffic.sent.values())
    return sent + sum(counts.traffic.dropped.values())


def all_arrived(sender: PeerBus, receiver: PeerBus) -> bool:
    """Tell whether each frame has arrived; on a slow machine the first is sent twice."""
    sent = sender.traffic.sent["bus-test"].messages
    return receiver.traffic.received["bus-test"].messages == sent


def test_a_message_arrives_with_its_sender() -> None:
    async def main() -> None:
        one, other = bus("vm-1"), bus("vm-2")
        channel = other.subscribe(Numbered)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(one.run)
            nursery.start_soon(other.run)
            await trio.testing.wait_all_tasks_blocked()
            got = await send_until(one, other, 7, channel)
            assert got == Received(sender=one.own, message=Numbered(number=7))
            assert one.traffic.sent["bus-test"].bytes >= other.traffic.received["bus-test"].bytes
            nursery.cancel_scope.cancel()

    trio.run(main)


@pytest.mark.parametrize("guarded", [True, False])
def test_a_peer_that_dies_and_returns_gets_no_old_frame(
    guarded: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A VM acts on news from before its own start.

    A peer dies; others keep sending to its address, and the frames queue there.
    A new life takes the address a while later and reads the queue: a request
    given up long ago, or an order for its former life, is carried out. The guard
    is that only a live link takes frames; with it off the old frame shows up.
    """
    monkeypatch.setattr(connection, "ONLY_LIVE_LINKS", int(guarded))

    async def main() -> None:
        one, first = bus("vm-1"), bus("vm-2", nonce=1)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(one.run)
            async with trio.open_nursery() as former:
                channel = first.subscribe(Numbered)
                former.start_soon(first.run)
                await trio.testing.wait_all_tasks_blocked()
                await send_until(one, first, 1, channel)
                former.cancel_scope.cancel()

            before = handled(one)
            for _ in range(MANY):
                one.send(first.address, Numbered(number=2), ttl_s=0.3)
                await trio.lowlevel.checkpoint()
            await until(lambda: handled(one) == before + MANY)

            second = bus("vm-2", nonce=2, port=first.address.port)
            channel = second.subscribe(Numbered)
            nursery.start_soon(second.run)
            numbers = []
            with trio.fail_after(PATIENCE_S):
                while 3 not in numbers:
                    one.send(first.address, Numbered(number=3))
                    one.send(first.address, Numbered(number=4), expected=first.own)
                    with trio.move_on_after(0.2):
                        numbers.append((await channel.receive()).message.number)
            assert set(numbers) == ({3} if guarded else {2, 3})
            nursery.cancel_scope.cancel()

    trio.run(main)


@pytest.mark.parametrize("guarded", [True, False])
def test_a_receiver_that_was_paused_drops_what_waited_in_its_buffers(guarded: bool) -> None:
    """A VM that thaws takes frames of minutes ago for new.

    The receiver is frozen, the sender goes on, and the kernel holds the frames.
    On waking the receiver reads them all at once. The receiver's clock is set
    forward in place of the freeze; without the age guard the frame is taken.
    """

    async def main() -> None:
        shift_s = 0.0
        one, other = bus("vm-1"), bus("vm-2")
        other._now = lambda: trio.current_time() + shift_s
        channel = other.subscribe(Numbered)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(one.run)
            nursery.start_soon(other.run)
            await trio.testing.wait_all_tasks_blocked()
            await send_until(one, other, 1, channel)
            await until(lambda: all_arrived(one, other))

            shift_s = 120.0
            sent = 60.0 if guarded else 1000.0
            one.send(other.address, Numbered(number=2), ttl_s=sent)
            await until(lambda: all_arrived(one, other))
            dropped = other.traffic.dropped.get(DropReason.EXPIRED_RECEIVED, 0)
            assert dropped == (1 if guarded else 0)
            nursery.cancel_scope.cancel()

    trio.run(main)


@pytest.mark.parametrize("guarded", [True, False])
def test_a_frozen_process_that_thaws_drops_the_frames_of_its_freeze(guarded: bool) -> None:
    """A VM that thaws acts on what was said to it before the others gave it up.

    A real process is stopped by a signal, frames go on being sent to it, and it
    is continued when they are long out of date. Without the age guard it takes
    them for new.
    """

    async def main() -> None:
        command = [sys.executable, "-m", "lagoonlever.tests.bus_receiver"]
        process = await trio.lowlevel.open_process(
            command if guarded else [*command, "unguarded"], stdout=subprocess.PIPE
        )
        assert process.stdout is not None
        lines = Lines(process.stdout)
        sender = bus("vm-1")
        try:
            with trio.fail_after(PATIENCE_S * 2):
                port = int(await lines.next())
                seen = await freeze_and_thaw(sender, process, port, lines)
        finally:
            process.kill()
            with trio.CancelScope(shield=True):
                await process.wait()
        assert seen == ({3} if guarded else {2, 3})

    trio.run(main)


async def freeze_and_thaw(
    sender: PeerBus, process: trio.Process, port: int, lines: Lines
) -> set[int]:
    """Give the numbers that the process took after it was frozen."""
    to = Address(host="127.0.0.1", port=port)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(sender.run)
        await trio.testing.wait_all_tasks_blocked()
        await say_until_heard(sender, to, 1, lines)
        process.send_signal(signal.SIGSTOP)
        before = handled(sender)
        for _ in range(5):
            sender.send(to, Numbered(number=2), ttl_s=0.5)
        await until(lambda: handled(sender) == before + 5)
        await trio.sleep(1.5)  # the frames grow old: this is the freeze
        process.send_signal(signal.SIGCONT)
        seen = await say_until_heard(sender, to, 3, lines)
        nursery.cancel_scope.cancel()
    return seen - {1}


async def say_until_heard(sender: PeerBus, to: Address, number: int, lines: Lines) -> set[int]:
    seen: set[int] = set()
    while number not in seen:
        sender.send(to, Numbered(number=number))
        with trio.move_on_after(0.2):
            seen.add(int(await lines.next()))
    return seen


class Lines:
    """Cuts what a process prints into lines; a cancelled wait loses nothing."""

    def __init__(self, stream: trio.abc.ReceiveStream) -> None:
        self._stream = stream
        self._buffer = b""

    async def next(self) -> bytes:
        while b"\n" not in self._buffer:
            self._buffer += await self._stream.receive_some()
        line, _, self._buffer = self._buffer.partition(b"\n")
        return line
