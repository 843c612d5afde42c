"""A gateway's own settings: JSON with comments, beside the file that the platform writes."""

from __future__ import annotations

import os
from pathlib import Path

import attrs

from lagoonlever.config.options import option
from lagoonlever.decisions.settings.mechanisms import MECHANISMS
from lagoonlever.exceptions import Fault, FaultsError

OPTIONS_VARIABLE = "LAGOONLEVER_GATEWAY_OPTIONS"
"""Names the file; without it every option has its default."""


@attrs.frozen(kw_only=True)
class GatewayOptions:
    """What operators may choose for a gateway."""

    without: tuple[str, ...] = option(
        doc="Mechanisms that are switched off, to measure what they are worth.", default=()
    )


def load_options() -> GatewayOptions:
    """Read the file that the environment names; raises ``FaultsError`` with every fault."""
    file = os.environ.get(OPTIONS_VARIABLE)
    if not file:
        return GatewayOptions()
    # Imported here: the parser takes a part of a start that usually needs none.
    from lagoonlever.config.files import load_file

    return load_file(GatewayOptions, Path(file))


def apply_options(options: GatewayOptions) -> None:
    """Put options in force; raises ``FaultsError`` for a mechanism that is not known."""
    known = {mechanism.name for mechanism in MECHANISMS.known}
    faults = [
        Fault(path="without", message=f"{name!r} is no mechanism; give one of {sorted(known)}")
        for name in options.without
        if name not in known
    ]
    if faults:
        raise FaultsError(faults)
    MECHANISMS.switch_off(options.without)
