"""``lagoonlever rollouts``: the versions that operators have ordered, and what became of them."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Annotated

import attrs
import typer

from lagoonlever.commands.store_reads import read_store
from lagoonlever.decisions.rollouts.versions import RolloutOrder, RolloutState
from lagoonlever.decisions.targets.listed_target import ListedTarget
from lagoonlever.platform.rollouts import (
    ORDERS_PREFIX,
    STATUS_PREFIX,
    UnreadableRollout,
    read_order,
    read_status,
)
from lagoonlever.platform.store import MetadataStore
from lagoonlever.platform.targets import TARGETS_PREFIX, UnreadableTarget, read_target
from lagoonlever.store.port import KeyValue


def rollouts(
    store: Annotated[str, typer.Argument(help="The platform's store, HOST:PORT.")],
) -> None:
    """List the roll-outs of services.

    One line each: service, version, the time to decide it in, and its state by the store. Why it
    was decided so is told by event 1072 in the gateways' logs. Tells where a verdict has left a
    service without targets that may be used. Exits with 3 if the store can't be read.
    """
    found = read_store(store, _read)
    if not found.orders:
        typer.echo("no version was ordered")
        return
    for entry in found.orders:
        typer.echo(_row(entry, found))


@attrs.frozen(kw_only=True)
class _Found:
    orders: tuple[KeyValue, ...]
    statuses: dict[str, KeyValue]
    """By service."""
    targets: tuple[ListedTarget, ...]


async def _read(store: MetadataStore) -> _Found:
    orders = await store.get_prefix(ORDERS_PREFIX)
    statuses = await store.get_prefix(STATUS_PREFIX)
    listed = await store.get_prefix(TARGETS_PREFIX)
    by_service = {entry.key.removeprefix(STATUS_PREFIX): entry for entry in statuses.entries}
    return _Found(
        orders=orders.entries,
        statuses=by_service,
        targets=tuple(_readable(listed.entries)),
    )


def _readable(entries: tuple[KeyValue, ...]) -> Iterator[ListedTarget]:
    for entry in entries:
        try:
            yield read_target(entry.key, entry.value)
        except UnreadableTarget:
            # Somebody else wrote it; it names no target.
            continue


def _row(entry: KeyValue, found: _Found) -> str:
    try:
        order = read_order(entry.key, entry.value)
    except UnreadableRollout as error:
        return f"unreadable: {error}; write it again"
    state = _state(found.statuses.get(order.service), entry, order.version)
    row = f"{order.service}  to {order.version} within {order.duration_s:g} s: {state}"
    if state == RolloutState.ROLLED_BACK.value and _is_shut_out(order, found.targets):
        row += "; nothing serves, as no other version is listed: order one anew or start others"
    return row


def _is_shut_out(order: RolloutOrder, targets: tuple[ListedTarget, ...]) -> bool:
    ready = {t.version for t in targets if t.service == order.service and not t.draining}
    return ready == {order.version}


def _state(status: KeyValue | None, order: KeyValue, version: str) -> str:
    if status is None or status.revision < order.revision:
        return "no gateway has taken it yet"
    try:
        read = read_status(status.key, status.value)
    except UnreadableRollout as error:
        return f"its status is unreadable: {error}"
    return read.state.value if read.version == version else f"its status is of {read.version}"
