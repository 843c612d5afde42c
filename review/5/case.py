"""An engine answers a stream with bytes without end; do other requests get their answers?"""

import asyncio
import random
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness_2 as harness  # noqa: E402

TIMEOUT_S = 1.2
HALF_S = 0.5
CALM_S, TROUBLE_S, AFTER_S = 5.0, 20.0, 6.0
BIDS_PER_S, STREAMS_PER_S = 30.0, 1.5
CHUNK = b"x" * 60
"""As many bytes as an event of an ordinary stream has, and none that ends an event."""


async def bid(world, rng, table):
    """Send one bid to one of the offered gateways and wait for it as long as a client does."""
    request = harness.new_id(rng)
    row = {"id": request, "vm": "", "sent": 0.0, "answered": None, "status": 0}
    offered = world.offered
    if not offered:
        return
    row["vm"] = rng.choice(offered)
    began = time.monotonic()
    http = None
    try:
        http = await harness.connect(row["vm"], harness.FRONT)
        fields = (("Host", harness.HOST), *harness.client_fields(request, 2500))
        await http.write(harness.request_head("POST", "/bid/1", fields, b"b" * 600))
        row["sent"] = world.now
        table.append(row)
        async with asyncio.timeout(2.5):
            first, got = await http.head()
            await http.body(got)
        row["status"] = int(first.split(" ")[1])
        row["answered"] = time.monotonic() - began
    except (harness.Closed, OSError, asyncio.TimeoutError) as error:
        row["error"] = repr(error)
        if isinstance(error, harness.Closed):
            row["answered"] = time.monotonic() - began
    finally:
        if http is not None:
            http.writer.transport.abort()
        world.line(
            f"bid {request} to {row['vm']}: {row['status']} after {row['answered']}"
            f" {row.get('error', '')}"
        )


async def stream(world, rng):
    """Send one stream and read it as long as a client does."""
    request = harness.new_id(rng)
    offered = world.offered
    if not offered:
        return
    vm, events, http = rng.choice(offered), 0, None
    try:
        http = await harness.connect(vm, harness.FRONT)
        fields = (("Host", harness.HOST), *harness.stream_fields(request, rng))
        await http.write(harness.request_head("POST", "/summary/1", fields, b"p" * 1200))
        async with asyncio.timeout(25):
            first, got = await http.head()
            while (
                piece := await http.piece()
                if "chunked" in got.get("transfer-encoding", "")
                else b""
            ):
                events += piece.count(b"\n\n")
        world.line(f"stream {request} to {vm}: {first!r}, {events} events")
    except (harness.Closed, OSError, asyncio.TimeoutError, ValueError) as error:
        world.line(f"stream {request} to {vm}: {error!r}, {events} events")
    finally:
        if http is not None:
            http.writer.transport.abort()


async def refresh(world, rng):
    while True:
        world.offered = await world.addresses(rng) or world.offered
        await asyncio.sleep(1.0)


async def every(world, per_s, work):
    while True:
        world.spawn(work())
        await asyncio.sleep(1.0 / per_s)


async def scenario(world):
    rng, table = random.Random(4), []
    world.offered = [vm.host for vm in world.vms]
    world.spawn(refresh(world, rng))
    await asyncio.sleep(harness.STABLE_WINDOW_S)
    world.spawn(every(world, BIDS_PER_S, lambda: bid(world, rng, table)))
    world.spawn(every(world, STREAMS_PER_S, lambda: stream(world, rng)))
    await asyncio.sleep(CALM_S)
    sick = world.engines[0]
    if world.trouble:
        world.line(f"{sick.id} answers without end from now on")
        sick.trouble, sick.trouble_chunk = True, CHUNK
    await asyncio.sleep(TROUBLE_S)
    sick.trouble = False
    world.line(f"{sick.id} is sound again")
    await asyncio.sleep(AFTER_S)
    return judge(world, table, sick)


def judge(world, table, sick):
    """CONFIG: of the requests still unanswered at TimeoutMs, over half half a second later."""
    done = [row for row in table if world.now - row["sent"] > 2.6]
    late = [r for r in done if r["answered"] is None or r["answered"] > TIMEOUT_S]
    later = [r for r in done if r["answered"] is None or r["answered"] > TIMEOUT_S + HALF_S]
    silent = {vm.name: sum(1 for _, s in vm.up if s != 200) for vm in world.vms}
    world.line(
        f"bids sent: {len(done)}; unanswered at TimeoutMs: {len(late)};"
        f" half a second later: {len(later)}"
    )
    world.line(
        f"readiness questions without a 200: {silent};"
        f" answers without end: {sick.troubled}, {sick.endless} bytes"
    )
    ended = [vm.name for vm in world.vms if vm.ended]
    world.line(f"processes that ended by themselves: {ended}")
    broken = len(later) >= 8 and len(later) > len(late) / 2
    world.line("CONFIG is broken" if broken else "CONFIG holds")
    return 1 if broken else 0


harness.main(FOLDER, scenario)
