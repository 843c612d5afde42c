"""The status of a VM as tables for a terminal."""

from __future__ import annotations

from rich import box
from rich.table import Table

from lagoonlever.report.status import StatusReport

ABSENT = "-"


def status_tables(report: StatusReport) -> list[Table]:
    """Give one table for each kind of thing: VM, members, targets, pools, shares, queues."""
    return [
        _vm_table(report),
        _member_table(report),
        _target_table(report),
        _pool_table(report),
        _share_table(report),
        _queue_table(report),
    ]


FOLDED_COLUMNS = frozenset({"serves", "value"})
"""Columns of any length; the others are copied into commands, so they are never folded."""


def _table(title: str, *columns: str) -> Table:
    table = Table(title=title, title_justify="left", box=box.SIMPLE_HEAD, pad_edge=False)
    for column in columns:
        table.add_column(column, overflow="fold", no_wrap=column not in FOLDED_COLUMNS)
    return table


def _vm_table(report: StatusReport) -> Table:
    vm = report.vm
    table = _table("This VM", "property", "value")
    table.add_row("name", vm.name)
    table.add_row("data centre", vm.data_center)
    table.add_row("address", vm.address)
    table.add_row("phase", vm.phase)
    table.add_row("up for", _seconds(vm.uptime_s))
    table.add_row("settings version", str(vm.settings_version))
    table.add_row("platform", "reachable" if vm.platform_reachable else "unreachable")
    table.add_row("open streams", str(vm.open_streams))
    table.add_row("open connections", str(vm.open_connections))
    return table


def _member_table(report: StatusReport) -> Table:
    table = _table("VMs", "name", "data centre", "address", "state", "load")
    for member in report.members:
        table.add_row(
            member.name,
            member.data_center,
            member.address,
            member.state,
            _number(member.load),
        )
    return table


def _target_table(report: StatusReport) -> Table:
    table = _table("Targets", "name", "address", "state", "serves", "in use", "waiting", "age")
    for target in report.targets:
        table.add_row(
            target.name,
            target.address,
            target.state,
            ", ".join(target.models) or target.kind,
            f"{_whole(target.running)}/{_whole(target.slots)}",
            _whole(target.waiting),
            _seconds(target.load_age_s),
        )
    return table


def _pool_table(report: StatusReport) -> Table:
    table = _table("Pools", "model", "slots", "ours now", "running", "waiting", "VMs heard")
    for pool in report.pools:
        table.add_row(
            pool.pool,
            str(pool.slots),
            f"{pool.quota:.1f}",
            str(pool.running),
            str(pool.waiting),
            str(pool.vms_heard),
        )
    return table


def _share_table(report: StatusReport) -> Table:
    table = _table("Shares", "organisation", "weight", "entitled", "used")
    for share in report.shares:
        table.add_row(
            share.path, f"{share.weight:g}", _percent(share.entitled), _percent(share.used)
        )
    return table


def _queue_table(report: StatusReport) -> Table:
    table = _table("Queues and waits", "organisation", "waiting", "bound", "median", "95 in 100")
    for queue in report.queues:
        table.add_row(
            queue.path,
            str(queue.waiting),
            str(queue.bound),
            _seconds(queue.wait_p50_s),
            _seconds(queue.wait_p95_s),
        )
    return table


def _whole(value: int | None) -> str:
    return ABSENT if value is None else str(value)


def _number(value: float | None) -> str:
    return ABSENT if value is None else f"{value:.2f}"


def _percent(value: float) -> str:
    return f"{100 * value:.1f}%"


def _seconds(value: float | None) -> str:
    return ABSENT if value is None else f"{value:.2f} s"
