"""One process of ``relay``: an engine, a bare relay or an entry VM, which tells its own cost.

Prints the port of its service and that of its cost page, serves until its
standard input ends, and so dies with the benchmark that started it.
"""

from __future__ import annotations

import os
import sys
import time
from pathlib import Path

import attrs
import msgspec
import trio

from lagoonlever.bench.bare_relay import serve_bare_relay
from lagoonlever.bench.entry_vm import (
    LOOPBACK,
    MODEL,
    address_of,
    engine_target,
    start_engine,
    start_vm,
)
from lagoonlever.decisions.suspicion.settings import DetectionSettings
from lagoonlever.fakes.engine import EngineOptions
from lagoonlever.http.exchange import Exchange
from lagoonlever.http.messages import Address
from lagoonlever.http.server import open_listeners, serve_http
from lagoonlever.http.server_limits import ServerLimits, ServerState

ENGINE = "engine"
BARE = "bare"
VM = "vm"
SLOTS = 1024


@attrs.frozen(kw_only=True)
class ProcessCost:
    """Processor time since the start in seconds, and resident memory in bytes."""

    cpu_s: float
    resident_bytes: int


@attrs.frozen(kw_only=True)
class ProcessPorts:
    """Where a process listens on loopback."""

    service: int
    cost: int


@attrs.frozen(kw_only=True)
class ProcessPlan:
    """What a process is to be; ``engine_port`` and ``token_interval_s`` where they apply."""

    role: str
    engine_port: int = 0
    token_interval_s: float = 0.01


def own_cost() -> ProcessCost:
    """Give this process's cost."""
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return ProcessCost(cpu_s=time.process_time(), resident_bytes=pages * os.sysconf("SC_PAGE_SIZE"))


async def _tell_cost(exchange: Exchange) -> None:
    await exchange.respond_json(status=200, payload=attrs.asdict(own_cost()))


async def _start(nursery: trio.Nursery, plan: ProcessPlan) -> Address:
    engine = Address(host=LOOPBACK, port=plan.engine_port)
    if plan.role == ENGINE:
        options = EngineOptions(
            models=(MODEL,),
            token_interval_s=plan.token_interval_s,
            prefill_s_per_token=0.0,
            slots=SLOTS,
        )
        return (await start_engine(nursery, name=ENGINE, options=options)).address
    if plan.role == BARE:
        listeners = await open_listeners(host=LOOPBACK, port=0)

        async def serve() -> None:
            await serve_bare_relay(engine=engine, listeners=listeners)

        nursery.start_soon(serve)
        return address_of(listeners)
    return await start_vm(
        nursery,
        targets=(engine_target(ENGINE, engine, slots=SLOTS),),
        detection=DetectionSettings(),
        seed=1,
    )


async def _run(plan: ProcessPlan) -> None:
    async with trio.open_nursery() as nursery:
        service = await _start(nursery, plan)
        listeners = await open_listeners(host=LOOPBACK, port=0)

        async def serve_cost() -> None:
            await serve_http(
                handler=_tell_cost,
                listeners=listeners,
                limits=ServerLimits(),
                state=ServerState(),
            )

        nursery.start_soon(serve_cost)
        ports = ProcessPorts(service=service.port, cost=address_of(listeners).port)
        sys.stdout.buffer.write(msgspec.json.encode(ports) + b"\n")
        sys.stdout.buffer.flush()
        await trio.to_thread.run_sync(sys.stdin.buffer.read, abandon_on_cancel=True)
        nursery.cancel_scope.cancel()


if __name__ == "__main__":
    trio.run(_run, msgspec.json.decode(sys.argv[1], type=ProcessPlan))
