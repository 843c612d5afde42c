"""Runners crash and come back in an outage of the store; is their service served after it?"""

import asyncio
import random
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness_2 as harness  # noqa: E402

CALM_S = 2.0
OUTAGE_S = 4.5
"""The store gives no answer for so long: the dose of `platform_down` on the sheet."""
CRASH_AFTER_S, DOWN_S = 3.2, 1.2
"""From the begin of the outage, and how long the runners are down: the dose of `srv_crash`."""
LATE_S = 5.0
"""After which a call is executed that got no answer: "seconds later" on the pages, and of
`platform_lost` 1 to 6 s."""
LAPSE_S = 3.6
"""Three heartbeats of silence."""
AFTER_S = 55.0
BIDS_PER_S, STATUS_PER_S, STREAMS_PER_S = 20.0, 8.0, 2.0
"""In the parts that the sheet has: two calls in three are bids, one request in fifteen a stream."""
MOST_FAILED = 0.6
"""Of the requests that are owed, the part that may be refused or fail."""


class Writer:
    """The calls by which one runner keeps its entry, each with the store's answer or without."""

    def __init__(self, world, target):
        self.world, self.target, self.alive = world, target, True
        self.key = f"servers/{target.id}"
        self.left_s = LAPSE_S
        """Until the entry lapses; leases pause while the store is away."""

    async def run(self):
        self.world.spawn(self._lapse())
        while self.alive:
            if self.world.silent:
                # This call gets no answer: the store may execute it seconds later.
                self.world.spawn(self._late(self.target.entry()))
                await asyncio.sleep(1.0)
                continue
            self._write(self.target.entry())
            await asyncio.sleep(1.2)

    async def _late(self, entry):
        """Execute a call after a while, unless the lease of its entry has ended by then."""
        is_first = self.key not in self.world.store.items
        await asyncio.sleep(LATE_S)
        if self.key not in self.world.store.items and not is_first:
            return
        if not self.alive:
            self.world.line(f"the store executes a call that {self.target.id} made before it ended")
        self._write(entry)

    def _write(self, entry):
        self.left_s = LAPSE_S
        self.world.store.put(self.key, entry)

    async def _lapse(self):
        """Have the entry removed after three heartbeats of silence."""
        while True:
            await asyncio.sleep(0.1)
            if self.world.silent or self.key not in self.world.store.items:
                continue
            self.left_s -= 0.1
            if self.left_s <= 0:
                self.world.store.delete(self.key)
                self.world.line(f"the entry of {self.target.id} has lapsed")


class SilentStore(harness.Store):
    """Gives no answer to gateways while the world's store is silent."""

    world = None

    async def handle(self, http, method, target, fields, body):
        if self.world.silent:
            await asyncio.sleep(3600)
        await super().handle(http, method, target, fields, body)

    async def answer(self, http, status, payload):
        if self.world.silent:
            await asyncio.sleep(3600)
        await super().answer(http, status, payload)


class OutageWorld(harness.World):
    """Its runners register by calls of their own."""

    silent = False

    def __init__(self, *words, **sizes):
        super().__init__(*words, **sizes)
        self.store.world = self
        self.writers = {}

    async def _beat(self, target):
        writer = self.writers[target.id] = Writer(self, target)
        await writer.run()

    async def crash(self, number):
        """End a runner; it comes back at its address as another incarnation."""
        old = self.runners[number]
        self.writers[old.id].alive = False
        await old.stop()
        self.line(f"{old.id} crashes")
        await asyncio.sleep(DOWN_S)
        new = harness.Runner(self, old.host, old.port, old.service, old.zone, number, old.slots)
        self.runners[number] = new
        await new.start()
        self.line(f"{new.id} is there in its place, at {new.host}:{new.port}")
        self.spawn(self._beat(new))


async def call(world, rng, table, method, path):
    """Send a call; a client that is told to come back does so once, and asks for no more."""
    sent, told, status = world.now, [], 0
    for _ in range(2):
        status, wait_s = await attempt(world, rng, method, path)
        told.append(status)
        left_s = 2.5 - (world.now - sent)
        if status not in (429, 503) or left_s <= 0:
            break
        await asyncio.sleep(min(wait_s, left_s / 3))
    table.append((method, sent, 200 <= status < 300))
    world.line(f"{method} {path} sent at {sent:.3f}: {told}")


async def attempt(world, rng, method, path):
    vm, body = rng.choice(world.vms).host, b"b" * 600 if method == "POST" else b""
    fields = harness.client_fields(harness.new_id(rng), 2500)
    try:
        async with asyncio.timeout(2.5):
            status, got, _ = await harness.fetch(vm, harness.FRONT, method, path, fields, body)
        return status, float(got.get("retry-after", "0"))
    except (harness.Closed, OSError, asyncio.TimeoutError):
        return 0, 0.0


async def stream(world, rng, table):
    """Send a stream, and read it to its end."""
    sent, events, http = world.now, 0, None
    request, vm = harness.new_id(rng), rng.choice(world.vms).host
    try:
        http = await harness.connect(vm, harness.FRONT)
        fields = (("Host", harness.HOST), *harness.stream_fields(request, rng))
        await http.write(harness.request_head("POST", "/summary/1", fields, request.encode() * 75))
        async with asyncio.timeout(25):
            first, _ = await http.head()
            while " 200 " in first and (piece := await http.piece()):
                events += piece.count(b"\n\n")
    except (harness.Closed, OSError, asyncio.TimeoutError):
        pass
    finally:
        if http is not None:
            http.writer.transport.abort()
    table.append(("stream", sent, events == harness.Engine.count))
    world.line(f"stream {request} sent at {sent:.3f}: {events} events")


async def every(world, per_s, work):
    while True:
        world.spawn(work())
        await asyncio.sleep(1.0 / per_s)


async def scenario(world):
    rng, table = random.Random(8), []
    await asyncio.sleep(harness.STABLE_WINDOW_S)
    load = [
        world.spawn(every(world, BIDS_PER_S, lambda: call(world, rng, table, "POST", "/bid/1"))),
        world.spawn(
            every(world, STATUS_PER_S, lambda: call(world, rng, table, "GET", "/status/1"))
        ),
        world.spawn(every(world, STREAMS_PER_S, lambda: stream(world, rng, table))),
    ]
    await asyncio.sleep(CALM_S)
    if world.trouble:
        world.line("the store gives no answer from now on")
        world.silent = True
        await asyncio.sleep(CRASH_AFTER_S)
        for number in range(len(world.runners)):
            world.spawn(world.crash(number))
        await asyncio.sleep(OUTAGE_S - CRASH_AFTER_S)
        world.silent = False
        world.store.reset()
        world.line("the store is back")
    await asyncio.sleep(AFTER_S)
    for task in load:
        task.cancel()
    await asyncio.sleep(10.0)
    return judge(world, table)


def judge(world, table):
    """Gate: refused and failed requests are at most 60 in 100 of those owed."""
    failed = [row for row in table if not row[2]]
    late = [served for kind, sent, served in table if kind != "stream" and sent > 20.0]
    streams = [served for kind, _, served in table if kind == "stream"]
    world.line(f"requests: {len(table)}, refused or failed: {len(failed)}")
    world.line(
        f"served of the calls sent after 20 s: {sum(late)} of {len(late)};"
        f" of all streams: {sum(streams)} of {len(streams)}"
    )
    broken = len(failed) > MOST_FAILED * len(table)
    world.line("Gate is broken" if broken else "Gate holds")
    return 1 if broken else 0


harness.Store = SilentStore
harness.World = OutageWorld
harness.main(FOLDER, scenario)
