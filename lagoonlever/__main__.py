"""The command line: parses arguments and hands over to the commands."""

from __future__ import annotations

import typer

from lagoonlever.commands import (
    ask,
    barred,
    bench,
    call,
    check,
    demo,
    entry,
    explain,
    fake,
    gateway,
    orders,
    report,
    rollouts,
    settings,
    soak,
    status,
)

app = typer.Typer(
    name="lagoonlever",
    help="A serving system for long generations on engines that fail.",
    no_args_is_help=True,
    pretty_exceptions_enable=False,
)
app.command()(entry.entry)
app.command()(gateway.gateway)
app.command()(ask.ask)
app.command()(call.call)
app.command()(demo.demo)
app.command()(check.check)
app.command()(status.status)
app.command()(soak.soak)
app.command()(barred.barred)
app.command()(rollouts.rollouts)
app.command("explain")(explain.explain_request)
app.command()(bench.bench)
app.add_typer(report.app, name="report")
app.add_typer(settings.app, name="settings")
app.add_typer(orders.app, name="orders")
app.add_typer(fake.app, name="fake")


def main() -> None:
    """Run the command line."""
    app()


if __name__ == "__main__":
    main()
