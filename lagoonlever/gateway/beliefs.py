"""What a gateway believes of its surroundings: configuration, targets, fellow VMs."""

from __future__ import annotations

import attrs

from lagoonlever.decisions.configuration import Configuration
from lagoonlever.decisions.target_registry import TargetRegistry
from lagoonlever.entry.published import Published
from lagoonlever.http.messages import Address


@attrs.frozen(kw_only=True)
class FellowVm:
    """Another gateway, or this one, as it is registered."""

    name: str
    incarnation: str
    data_center: str
    address: Address
    """For callers."""


@attrs.define(kw_only=True, eq=False)
class Beliefs:
    """Each part has one owner that changes it; everyone else only reads."""

    configuration: Published[Configuration | None] = attrs.field(
        factory=lambda: Published[Configuration | None](None)
    )
    targets: TargetRegistry = attrs.field(factory=TargetRegistry)
    fellows: Published[tuple[FellowVm, ...]] = attrs.field(
        factory=lambda: Published[tuple[FellowVm, ...]](())
    )
