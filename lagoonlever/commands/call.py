"""``lagoonlever call``: one call of an application service, at most once."""

from __future__ import annotations

import sys
from typing import Annotated

import trio
import typer

from lagoonlever.client.caller import Caller
from lagoonlever.client.service_calls import ServiceAnswer, ServiceCaller, ServiceRequest
from lagoonlever.commands.exit_codes import ExitCode
from lagoonlever.http.messages import Address
from lagoonlever.outcomes import OutcomeTag

EXIT_CODES = {
    OutcomeTag.DONE: ExitCode.OK,
    OutcomeTag.NOT_RUN: ExitCode.NOT_RUN,
    OutcomeTag.UNKNOWN: ExitCode.UNKNOWN,
    OutcomeTag.FAILED: ExitCode.FAILED,
}


def call(
    method: Annotated[str, typer.Argument(help="GET, POST, ...")],
    path: Annotated[str, typer.Argument(help="/services/NAME/...")],
    address: Annotated[
        list[str], typer.Option("--address", help="IP:PORT of any entry VM; several may be given.")
    ],
    data: Annotated[str, typer.Option(help="The body, usually JSON.")] = "",
    key: Annotated[
        str | None, typer.Option(help="The key of a former call, to learn what became of it.")
    ] = None,
    api_key: Annotated[
        str | None, typer.Option(envvar="LAGOONLEVER_API_KEY", help="The organisation's key.")
    ] = None,
    within_s: Annotated[
        float, typer.Option(min=0.01, help="Seconds after which no answer is wanted.")
    ] = 10.0,
) -> None:
    """Call a service; a call that may not be repeated runs at most once.

    The answer goes to standard output; outcome and key to standard error. With
    the outcome unknown, the same command with --key asks again and runs nothing
    twice. Exits with 4 for not run, 5 for unknown, 6 for failed.
    """
    try:
        addresses = tuple(Address.parse(text) for text in address)
    except ValueError as error:
        raise typer.BadParameter(str(error), param_hint="--address") from error
    if not path.startswith("/services/"):
        raise typer.BadParameter("begins with /services/", param_hint="PATH")
    request = ServiceRequest(
        method=method.upper(),
        path=path,
        body=data.encode(),
        api_key=api_key,
        key=key,
        within_s=within_s,
    )
    caller = ServiceCaller(caller=Caller(addresses=list(addresses)), addresses=addresses)
    answer = trio.run(caller.call, request)
    _tell(answer)
    raise typer.Exit(EXIT_CODES[answer.outcome])


def _tell(answer: ServiceAnswer) -> None:
    if answer.body:
        sys.stdout.write(answer.body.decode("utf-8", "replace") + "\n")
    reason = f" ({answer.reason})" if answer.reason else ""
    typer.echo(f"{answer.outcome.value}{reason}, status {answer.status}", err=True)
    if answer.key is not None:
        typer.echo(f"key: {answer.key}", err=True)
