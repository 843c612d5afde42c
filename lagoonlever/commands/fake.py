"""The commands that start a stand-in for an engine, an application service or the platform."""

from __future__ import annotations

import signal
from collections.abc import Awaitable, Callable
from typing import Annotated

import trio
import typer

from lagoonlever.fakes.application import ApplicationOptions, FakeApplication
from lagoonlever.fakes.batch import ServedModel
from lagoonlever.fakes.engine import EngineOptions, FakeEngine
from lagoonlever.fakes.platform import FakePlatform
from lagoonlever.http.messages import Address
from lagoonlever.http.server import open_listeners

DIED_EXIT_CODE = 1
Run = Callable[[list[trio.SocketListener]], Awaitable[None]]

app = typer.Typer(help="Start a stand-in, for trials and tests.", no_args_is_help=True)

Listen = Annotated[str, typer.Option(help="IP number and port; port 0 takes a free one.")]
LoadLag = Annotated[float, typer.Option(help="Age of the load reports, in seconds.")]


@app.command()
def engine(
    listen: Listen = "127.0.0.1:0",
    model: Annotated[str, typer.Option(help="Name of the model.")] = "summary",
    version: Annotated[str, typer.Option(help="Version of the model.")] = "v1",
    adapter: Annotated[
        list[str] | None, typer.Option(help="An adapter of the model; may be repeated.")
    ] = None,
    token_interval_s: Annotated[float, typer.Option(help="Time between two tokens.")] = 0.01,
    prefill_s_per_token: Annotated[float, typer.Option(help="Time to prefill a token.")] = 0.00002,
    slots: Annotated[int, typer.Option(help="Streams in the batch.")] = 16,
    cache_blocks: Annotated[int, typer.Option(help="Blocks of 16 tokens in the cache.")] = 4096,
    load_lag_s: LoadLag = 0.5,
    cache_event_lag_s: Annotated[float, typer.Option(help="Age of the cache events.")] = 1.0,
    cache_event_gap: Annotated[float, typer.Option(help="Fraction of lost events.")] = 0.05,
    model_load_s: Annotated[float, typer.Option(help="Time until an order is done.")] = 1.0,
    checks_fencing: Annotated[bool, typer.Option(help="Refuse old fencing numbers.")] = False,
) -> None:
    """Start a stand-in engine."""
    options = EngineOptions(
        models=(ServedModel(name=model, version=version, adapters=tuple(adapter or ())),),
        token_interval_s=token_interval_s,
        prefill_s_per_token=prefill_s_per_token,
        slots=slots,
        cache_blocks=cache_blocks,
        load_lag_s=load_lag_s,
        cache_event_lag_s=cache_event_lag_s,
        cache_event_gap=cache_event_gap,
        model_load_s=model_load_s,
        checks_fencing=checks_fencing,
    )
    _serve(listen, FakeEngine(options=options).run)


@app.command()
def application(
    listen: Listen = "127.0.0.1:0",
    service_s: Annotated[float, typer.Option(help="Time that a call takes.")] = 0.005,
    slots: Annotated[int, typer.Option(help="Calls that run at once.")] = 32,
    load_lag_s: LoadLag = 0.5,
) -> None:
    """Start a stand-in application service."""
    options = ApplicationOptions(service_s=service_s, slots=slots, load_lag_s=load_lag_s)
    _serve(listen, FakeApplication(options=options).run)


@app.command()
def platform(
    listen: Listen = "127.0.0.1:0",
    vms_lag_s: Annotated[float, typer.Option(help="Age of the list of VMs.")] = 0.0,
) -> None:
    """Start a stand-in platform."""
    _serve(listen, FakePlatform(vms_lag_s=vms_lag_s).run)


def _serve(listen: str, run: Run) -> None:
    try:
        address = Address.parse(listen)
    except ValueError as error:
        raise typer.BadParameter(str(error), param_hint="--listen") from None
    if trio.run(_serve_until_signal, address, run):
        return
    raise typer.Exit(DIED_EXIT_CODE)


async def _serve_until_signal(address: Address, run: Run) -> bool:
    """Serve, and tell whether a signal ended it rather than a fault."""
    listeners = await open_listeners(host=address.host, port=address.port)
    port = listeners[0].socket.getsockname()[1]
    stopped = False

    async def stop_on_signal(scope: trio.CancelScope) -> None:
        nonlocal stopped
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            print(f"listening on {Address(host=address.host, port=port)}", flush=True)
            async for _ in signals:
                stopped = True
                scope.cancel()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(stop_on_signal, nursery.cancel_scope)
        await run(listeners)
        nursery.cancel_scope.cancel()
    return stopped
