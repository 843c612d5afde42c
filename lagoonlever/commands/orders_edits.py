"""What the options of ``lagoonlever orders set`` ask for, as changes of whole states."""

from __future__ import annotations

import re
from collections.abc import Sequence

import attrs

from lagoonlever.decisions.orders.orders import WantedState
from lagoonlever.decisions.orders.wanted import WantedEdit
from lagoonlever.decisions.targets.targets import ModelKey
from lagoonlever.entry.admin.orders_messages import OrdersShown
from lagoonlever.exceptions import Fault, FaultsError

MODEL = re.compile(r"(?P<name>[^@:\s]+)@(?P<version>[^@:\s]+)(?::(?P<adapter>[^@:\s]+))?\Z")


@attrs.frozen(kw_only=True)
class WantedOptions:
    """The options as given; None leaves that part of each engine's state as it is."""

    models: tuple[ModelKey, ...] | None = None
    role: str | None = None
    draining: bool | None = None
    release: bool = False

    @property
    def empty(self) -> bool:
        """Whether nothing was asked for."""
        return self == WantedOptions()


def parse_models(texts: Sequence[str]) -> tuple[ModelKey, ...] | None:
    """Read ``NAME@VERSION[:ADAPTER]`` each; raises ``FaultsError`` with all faults."""
    matches = [(text, MODEL.match(text)) for text in texts]
    faults = [
        Fault(path="--model", message=f"{text!r} is not NAME@VERSION or NAME@VERSION:ADAPTER")
        for text, match in matches
        if match is None
    ]
    if faults:
        raise FaultsError(faults)
    keys = [ModelKey(**match.groupdict()) for _, match in matches if match is not None]
    return tuple(dict.fromkeys(keys)) or None


def edits_of_options(
    shown: OrdersShown, engines: Sequence[str], options: WantedOptions
) -> tuple[WantedEdit, ...]:
    """Give an edit for each engine; raises ``FaultsError`` with all faults.

    An engine that was left alone has no state to keep parts of: without models
    the order would unload what it serves.
    """
    wanted = {each.engine: each.wanted for each in shown.engines}
    names = tuple(dict.fromkeys(engines))
    faults = [
        Fault(path=name, message="nothing is wanted of it yet; state its models with --model")
        for name in names
        if wanted.get(name) is None and options.models is None and not options.release
    ]
    if faults:
        raise FaultsError(faults)
    return tuple(
        WantedEdit(
            engine=name,
            expected=wanted.get(name),
            wanted=None if options.release else _changed(wanted.get(name), options),
        )
        for name in names
    )


def _changed(state: WantedState | None, options: WantedOptions) -> WantedState:
    base = state or WantedState()
    return WantedState(
        models=base.models if options.models is None else options.models,
        role=base.role if options.role is None else options.role,
        draining=base.draining if options.draining is None else options.draining,
    )
