"""``lagoonlever ask``: sends a prompt, shows the answer as it streams, survives losses."""

from __future__ import annotations

import sys
from typing import Annotated

import trio
import typer

from lagoonlever.client.caller import Arrival, Caller, CompletionRequest, NoAnswer
from lagoonlever.commands.exit_codes import ExitCode
from lagoonlever.exceptions import LagoonleverException
from lagoonlever.http.messages import Address


def _parse(text: str) -> Address:
    try:
        return Address.parse(text)
    except ValueError as error:
        raise typer.BadParameter(str(error)) from error


def ask(
    prompt: Annotated[str, typer.Argument(help="The prompt, as text.")],
    model: Annotated[str, typer.Option(help="The model, or MODEL:ADAPTER.")],
    address: Annotated[
        list[str], typer.Option("--address", help="IP:PORT of any entry VM; several may be given.")
    ],
    max_tokens: Annotated[int, typer.Option(min=1, help="Longest answer in tokens.")] = 256,
    seed: Annotated[int | None, typer.Option(help="Seed of sampling.")] = None,
    stop: Annotated[list[str] | None, typer.Option(help="A string that ends the answer.")] = None,
    api_key: Annotated[
        str | None, typer.Option(envvar="LAGOONLEVER_API_KEY", help="The organisation's key.")
    ] = None,
    deadline_s: Annotated[
        float | None, typer.Option(min=0.001, help="Seconds after which no answer is wanted.")
    ] = None,
) -> None:
    """Ask for a completion; comes back by itself to another VM after a loss.

    The answer goes to standard output, everything else to standard error.
    """
    request = CompletionRequest(
        model=model,
        prompt=prompt,
        max_tokens=max_tokens,
        seed=seed,
        stop=tuple(stop or ()),
        api_key=api_key,
        deadline_s=deadline_s,
    )
    caller = Caller(addresses=[_parse(text) for text in address])
    try:
        trio.run(_ask, caller, request)
    except NoAnswer as error:
        typer.echo(f"{error.outcome} ({error.reason}): {error}", err=True)
        raise typer.Exit(_exit_code(error.outcome)) from error
    except LagoonleverException as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(ExitCode.FAILED) from error


def _exit_code(outcome: str) -> int:
    return {
        "not-run": ExitCode.NOT_RUN,
        "unknown": ExitCode.UNKNOWN,
        "failed": ExitCode.FAILED,
    }.get(outcome, ExitCode.FAILED)


async def _ask(caller: Caller, request: CompletionRequest) -> None:
    def show(arrival: Arrival) -> None:
        if arrival.restarted:
            typer.echo("\n-- a new generation replaces what was shown --", err=True)
        sys.stdout.write(arrival.text)
        sys.stdout.flush()

    held = await caller.complete(request, on_arrival=show)
    sys.stdout.write("\n")
    if held.error is None:
        typer.echo(f"done: {len(held.token_ids)} tokens, {held.finish_reason}", err=True)
