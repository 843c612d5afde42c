"""The typed JSON of ``/admin/orders``, shared by its server and the command line."""

from __future__ import annotations

import attrs

from lagoonlever.decisions.orders.orders import OrderReport, WantedState
from lagoonlever.decisions.orders.wanted import (
    EngineConflict,
    WantedConflict,
    WantedEdit,
    WantedOutcome,
    WantedStored,
)
from lagoonlever.exceptions import Fault

ORDERS_PATH = "/admin/orders"
ORDERS_CHANGE_PATH = "/admin/orders/change"


@attrs.frozen(kw_only=True)
class HolderShown:
    """The VM that gives the orders, by the platform, and the number they carry."""

    vm: str
    fencing: int


@attrs.frozen(kw_only=True)
class EngineShown:
    """One engine; ``report`` is what it told just now, None with the ``error`` if it did not."""

    engine: str
    wanted: WantedState | None
    report: OrderReport | None
    error: str = ""


@attrs.frozen(kw_only=True)
class OrdersShown:
    """The orders as a whole; ``revision`` is that of the wanted states, 0 without any."""

    revision: int
    holder: HolderShown | None
    engines: tuple[EngineShown, ...]


@attrs.frozen(kw_only=True)
class OrdersChangeAsked:
    """A change of wanted states; ``author`` is for the log."""

    author: str
    edits: tuple[WantedEdit, ...]


@attrs.frozen(kw_only=True)
class OrdersChangeTold:
    """What became of a change, by its tag."""

    tag: str
    revision: int | None = None
    made: bool = False
    message: str = ""
    conflicts: tuple[EngineConflict, ...] = ()
    faults: tuple[Fault, ...] = ()


def orders_change_told(outcome: WantedOutcome) -> OrdersChangeTold:
    """Give the payload of an outcome."""
    match outcome:
        case WantedStored():
            return OrdersChangeTold(tag=outcome.tag, revision=outcome.revision, made=outcome.made)
        case WantedConflict():
            return OrdersChangeTold(
                tag=outcome.tag,
                revision=outcome.revision,
                message="changed by someone else meanwhile",
                conflicts=outcome.engines,
            )
        case _:
            return OrdersChangeTold(tag=outcome.tag, message=outcome.message)
