"""How soon a change made through the administration API is in force on whole daemons."""

from __future__ import annotations

import tempfile
import time
from pathlib import Path

import attrs
import trio

from lagoonlever.commands.settings_client import SettingsClient
from lagoonlever.config.vm import VmSettings
from lagoonlever.fakes.cluster import EmbeddedCluster
from lagoonlever.history.events_settings import SettingsInForce
from lagoonlever.history.recorder import read_history
from lagoonlever.tree.change_plan import ChangeRequest
from lagoonlever.tree.changes import Edit, value_at
from lagoonlever.tree.document import parse_text
from lagoonlever.tree.nodes import ROOT

WAIT_S = 20.0
OPTION = "queue_bound"


def measure_daemons(vms: int, changes: int) -> list[float]:
    """Give, for each change and VM, the seconds from the operator's request to in force.

    The daemons share one process, and talk over ZeroMQ and HTTP on loopback.
    """
    with tempfile.TemporaryDirectory() as directory:
        asked = trio.run(_make_changes, Path(directory), vms, changes)
        events = read_history(Path(directory).glob("*.history"))
    in_force = [event for event in events if isinstance(event, SettingsInForce)]
    return [event.at - asked[event.version] for event in in_force if event.version in asked]


async def _make_changes(directory: Path, vms: int, changes: int) -> dict[int, float]:
    asked: dict[int, float] = {}

    def with_history(settings: VmSettings) -> VmSettings:
        path = directory / f"{settings.name}.history"
        return attrs.evolve(settings, history_file=str(path))

    async with trio.open_nursery() as nursery:
        cluster = EmbeddedCluster(nursery=nursery, adjust=with_history)
        await cluster.start(engines=1, vms=vms)
        for number in range(changes):
            client = SettingsClient(address=cluster.addresses()[number % vms])
            asked_at = time.monotonic()
            version = await _change(client, number)
            asked[version] = asked_at
            await client.in_force(version, wait_s=WAIT_S)
        nursery.cancel_scope.cancel()
    return asked


async def _change(client: SettingsClient, number: int) -> int:
    shown = await client.show()
    before = value_at(parse_text(shown.text), ROOT, OPTION)
    edit = Edit(path=ROOT, option=OPTION, before=before, after=number + 1)
    request = ChangeRequest(
        change_id=f"change-{number}", author="bench", base_version=shown.version, edits=(edit,)
    )
    told = await client.change(request, wait_s=0)
    if told.version is None:
        raise RuntimeError(f"the change was not stored: {told}")
    return told.version
