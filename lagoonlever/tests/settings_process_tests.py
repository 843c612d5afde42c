"""Settings on real processes: a frozen VM, and a VM that starts in an outage of the platform."""

from __future__ import annotations

import signal
from functools import partial
from pathlib import Path

from lagoonlever.client.caller import CompletionRequest
from lagoonlever.commands.settings_client import SettingsClient
from lagoonlever.fakes.cluster import MODEL
from lagoonlever.history.checkers.settings_in_force import LIMIT_S, check
from lagoonlever.history.events_settings import (
    SettingsAccepted,
    SettingsInForce,
    SettingsReachable,
    SettingsUnreachable,
    SettingsWorkTaken,
)
from lagoonlever.history.events_vms import VmStopBegan, VmStopEnded
from lagoonlever.tests.base import PROMPT, until_answer
from lagoonlever.tests.processes import Fleet, run_fleet, wait_ended
from lagoonlever.tree.change_plan import ChangeRequest
from lagoonlever.tree.changes import diff
from lagoonlever.tree.document import parse_text

WAIT_S = 20.0


async def store(fleet: Fleet, vm: str, text: str) -> int:
    """Store a document through a VM, record the acceptance, and give the version."""
    client = SettingsClient(address=fleet.processes[vm].address)
    shown = await client.show()
    request = ChangeRequest(
        change_id=f"change-of-{shown.version}",
        author="ana",
        base_version=shown.version,
        edits=diff(parse_text(shown.text), parse_text(text)),
        text=text,
    )
    told = await client.change(request, wait_s=0)
    assert told.tag == "stored" and told.version is not None, told
    recorder = fleet.recorder()
    accepted = SettingsAccepted(
        at=recorder.now, process="ana", version=told.version, change=request.change_id
    )
    recorder.record(accepted)
    recorder.close()
    return told.version


def record(fleet: Fleet, event: type[SettingsUnreachable | SettingsReachable], vm: str) -> None:
    """Record that the last life of a VM can't hear of versions, or can again."""
    lives = [each.process for each in fleet.history() if isinstance(each, SettingsInForce)]
    process = next(life for life in reversed(lives) if life.startswith(f"{vm}~"))
    recorder = fleet.recorder()
    recorder.record(event(at=recorder.now, process=process, vm=vm))
    recorder.close()


async def in_force(fleet: Fleet, vm: str, version: int) -> bool:
    status = await fleet.get(vm, "/admin/status")
    return status["vm"]["settings_version"] == version


def test_a_frozen_vm_wakes_with_the_version_that_was_accepted_meanwhile(tmp_path: Path) -> None:
    """Story: a weight is raised, and one VM divides by the old one from then on.

    The VM is stopped by a signal while the change is stored. Its watch's news and
    its peers' wait in its sockets, or were dropped, when it goes on.
    """

    async def story(fleet: Fleet) -> None:
        first = await store(fleet, "vm-1", '{"/": {"queue_bound": 500}}')
        for vm in fleet.vms:
            await until_answer(partial(in_force, fleet, vm.name, first))
        frozen = fleet.processes["vm-3"]
        frozen.send(signal.SIGSTOP)
        record(fleet, SettingsUnreachable, "vm-3")
        second = await store(fleet, "vm-1", '{"/": {"queue_bound": 600}}')
        for name in ("vm-1", "vm-2"):
            await until_answer(partial(in_force, fleet, name, second))
        client = SettingsClient(address=fleet.processes["vm-1"].address)
        assert "vm-3" not in (await client.in_force(second, wait_s=0)).in_force
        frozen.send(signal.SIGCONT)
        record(fleet, SettingsReachable, "vm-3")
        told = await client.in_force(second, wait_s=WAIT_S)
        assert told.in_force == ("vm-1", "vm-2", "vm-3")

    run_fleet(story, tmp_path, engines=1)


def test_a_vm_that_starts_in_an_outage_has_its_peers_version(tmp_path: Path) -> None:
    """Story: a VM is replaced while the platform is down, and comes up with the defaults."""

    async def story(fleet: Fleet) -> None:
        version = await store(fleet, "vm-1", '{"/": {"queue_bound": 500}}')
        for vm in fleet.vms:
            await until_answer(partial(in_force, fleet, vm.name, version))
        await fleet.order("platform", "/fault", {"kind": "down"})
        replaced = fleet.processes["vm-3"]
        replaced.send(signal.SIGKILL)
        replaced.popen.wait()
        started = fleet.start_vm("vm-3", 2, addresses={})
        fleet.read_ready(started)
        await until_answer(partial(in_force, fleet, "vm-3", version))
        node = await SettingsClient(address=started.address).node("/")
        options = {shown.option: shown.value for shown in node.options}
        assert options["queue_bound"] == 500

    run_fleet(story, tmp_path, engines=1)


def test_a_vm_records_its_work_and_its_stop_under_the_life_that_has_the_settings(
    tmp_path: Path,
) -> None:
    """Story: a VM takes work on an old version, and the checker of the run says nothing.

    It looks work and stops up by the life that has a version in force. Recorded under
    the VM's name, they were passed over, and a VM that had ended was called late.
    """
    kinds = (SettingsInForce, SettingsWorkTaken, VmStopBegan, VmStopEnded)

    async def story(fleet: Fleet) -> None:
        version = await store(fleet, "vm-1", '{"/": {"queue_bound": 500}}')
        await until_answer(partial(in_force, fleet, "vm-1", version))
        request = CompletionRequest(model=MODEL, prompt=PROMPT, max_tokens=3, seed=1)
        await fleet.caller(fleet.recorder(), at="vm-1").complete(request, on_arrival=lambda _: None)
        fleet.processes["vm-1"].send(signal.SIGTERM)
        assert await wait_ended(fleet.processes["vm-1"]) == 0
        events = fleet.history()
        own = [each for each in events if isinstance(each, kinds) and each.vm == "vm-1"]
        assert {type(each) for each in own} == set(kinds)
        assert len({each.process for each in own}) == 1
        taken = next(each for each in own if isinstance(each, SettingsWorkTaken))
        accepted = SettingsAccepted(
            at=taken.at - LIMIT_S - 1, process="ana", version=version + 1, change="missed"
        )
        assert any("took work" in each.message for each in check([accepted, *events]))

    run_fleet(story, tmp_path, engines=1, vms=2, address_lifetime_s=1.0)
