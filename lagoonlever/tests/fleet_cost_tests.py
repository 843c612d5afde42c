"""The benchmark of what a fleet costs its VMs counts what it says."""

from __future__ import annotations

from lagoonlever.bench.fleet_cost import CostRow, measured


def row(rows: list[CostRow], state: str) -> CostRow:
    return next(each for each in rows if each.state == state)


def test_in_a_small_fleet_a_vm_hears_every_other_and_every_run() -> None:
    rows = measured(9, 1.2)
    assert row(rows, "at rest").messages >= 8 / 0.3
    assert row(rows, "with runs").told_to_all == 5 * 0.1 * 8


def test_in_a_very_large_fleet_runs_cost_a_vm_few_messages() -> None:
    """Told to every VM, runs were two thirds of what a VM of such a fleet heard."""
    rows = measured(135, 1.2)
    rest, runs = row(rows, "at rest"), row(rows, "with runs")
    assert runs.messages - rest.messages < 3.0
    assert runs.told_to_all is not None and runs.told_to_all > 60.0
