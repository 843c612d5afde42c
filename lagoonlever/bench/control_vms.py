"""Entry VMs as processes of their own, beside stand-ins in this process, and what they cost."""

from __future__ import annotations

import contextlib
import subprocess
import sys
import tempfile
import uuid
from collections.abc import AsyncIterator
from pathlib import Path

import attrs
import msgspec
import trio
from prometheus_client.parser import text_string_to_metric_families

from lagoonlever.client.caller import Caller, CompletionRequest, NoAnswer
from lagoonlever.commands.settings_client import SettingsClient
from lagoonlever.exceptions import LagoonleverException, PeerError
from lagoonlever.fakes.batch import ServedModel
from lagoonlever.fakes.cluster import DATA_CENTERS, FREE_PORT, MODEL, VERSION, EmbeddedCluster
from lagoonlever.fakes.engine import EngineOptions
from lagoonlever.http.client import fetch
from lagoonlever.http.messages import Address
from lagoonlever.report.status import decode_status
from lagoonlever.store.etcd_wire import WireVm
from lagoonlever.tree.change_plan import ChangeRequest
from lagoonlever.tree.changes import diff
from lagoonlever.tree.document import parse_text
from lagoonlever.tree.nodes import default_tree
from lagoonlever.tree.options import api_key_digest

ENGINES = 4
SLOTS = 8
TOKEN_INTERVAL_S = 0.05
ANSWER_TOKENS = 32
START_TIMEOUT_S = 60.0
CALL_TIMEOUT_S = 10.0
POLL_S = 0.2
STOP_TIMEOUT_S = 10.0


@attrs.frozen(kw_only=True)
class VmCost:
    """What one VM has spent since its start, and its memory now."""

    cpu_s: float
    resident_bytes: float
    sent_bytes: float
    received_bytes: float


@attrs.define(kw_only=True)
class VmProcess:
    """A started entry VM and where it listens."""

    name: str
    process: subprocess.Popen[str]
    address: Address
    peers: Address

    async def cost(self) -> VmCost:
        """Ask the VM's own metrics."""
        response = await fetch(
            self.address, path="/metrics", step="scrape", timeout_s=CALL_TIMEOUT_S
        )
        values: dict[str, float] = {}
        for family in text_string_to_metric_families(response.body.decode()):
            for sample in family.samples:
                direction = sample.labels.get("direction", "")
                key = sample.name + direction
                values[key] = values.get(key, 0.0) + sample.value
        return VmCost(
            cpu_s=values["process_cpu_seconds_total"],
            resident_bytes=values["process_resident_memory_bytes"],
            sent_bytes=values.get("lagoonlever_control_bytes_totalsent", 0.0),
            received_bytes=values.get("lagoonlever_control_bytes_totalreceived", 0.0),
        )

    async def knows(self, *, vms: int, targets: int) -> bool:
        """Tell whether it serves, and knows so many VMs and targets."""
        response = await fetch(
            self.address, path="/admin/status", step="ask for status", timeout_s=CALL_TIMEOUT_S
        )
        status = decode_status(response.body, peer=str(self.address))
        known = sum(1 for target in status.targets if target.slots is not None)
        return status.vm.phase == "serving" and len(status.members) == vms and known == targets


@attrs.define(kw_only=True)
class ControlFleet:
    """The stand-ins and the VMs of one run."""

    cluster: EmbeddedCluster
    vms: list[VmProcess] = attrs.field(factory=list)

    async def settle(self) -> None:
        """List the VMs at the platform and wait until each knows all others and all targets."""
        self.cluster.platform.set_vms([*self._listed_targets(), *map(_listed_vm, self.vms)])
        with trio.fail_after(START_TIMEOUT_S):
            for vm in self.vms:
                await self._wait_until_known(vm)

    async def store_organisations(self, count: int) -> None:
        """State so many organisations, each with a key of its own."""
        nodes = {
            organisation_path(number): {"api_keys": [api_key_digest(api_key(number))]}
            for number in range(count)
        }
        text = msgspec.json.encode({"/": {}, **nodes}).decode()
        request = ChangeRequest(
            change_id=uuid.uuid4().hex,
            author="bench",
            base_version=0,
            edits=diff(default_tree(), parse_text(text)),
            text=text,
        )
        client = SettingsClient(address=self.vms[0].address)
        await client.change(request, wait_s=START_TIMEOUT_S)

    async def _wait_until_known(self, vm: VmProcess) -> None:
        while True:
            if await vm.knows(vms=len(self.vms), targets=len(self.cluster.targets)):
                return
            await trio.sleep(POLL_S)

    def _listed_targets(self) -> list[WireVm]:
        return [
            WireVm(
                name=target.name,
                address=str(target.address),
                data_center=target.data_center,
                role=target.role.value,
            )
            for target in self.cluster.targets.values()
        ]


def organisation_path(number: int) -> str:
    """Give the path of an organisation."""
    return f"/organisation-{number}"


def api_key(number: int) -> str:
    """Give the key of an organisation's callers."""
    return f"key-{number}"


@contextlib.asynccontextmanager
async def control_fleet(count: int) -> AsyncIterator[ControlFleet]:
    """Run stand-ins and so many VMs for the time of a block."""
    options = EngineOptions(
        models=(ServedModel(name=MODEL, version=VERSION),),
        token_interval_s=TOKEN_INTERVAL_S,
        slots=SLOTS,
    )
    with tempfile.TemporaryDirectory() as folder:
        async with trio.open_nursery() as nursery:
            cluster = EmbeddedCluster(nursery=nursery, engine_options=options)
            await cluster.start(engines=ENGINES, vms=0)
            fleet = ControlFleet(cluster=cluster)
            try:
                for number in range(count):
                    fleet.vms.append(await _start_vm(Path(folder), number, fleet))
                await fleet.settle()
                yield fleet
            finally:
                for vm in fleet.vms:
                    vm.process.kill()
                    vm.process.wait(STOP_TIMEOUT_S)
                nursery.cancel_scope.cancel()


@contextlib.asynccontextmanager
async def demand(fleet: ControlFleet, *, organisations: int, callers: int) -> AsyncIterator[None]:
    """Keep callers of each organisation asking one request after the other."""
    addresses = [vm.address for vm in fleet.vms]
    async with trio.open_nursery() as nursery:
        for number in range(organisations * callers):
            key = api_key(number % organisations)
            nursery.start_soon(_ask_on, Caller(addresses=addresses), key, number)
        yield
        nursery.cancel_scope.cancel()


async def _ask_on(caller: Caller, key: str, number: int) -> None:
    request = CompletionRequest(
        model=MODEL, prompt=f"the lot of caller {number}", max_tokens=ANSWER_TOKENS, api_key=key
    )
    while True:
        with contextlib.suppress(NoAnswer, PeerError):
            await caller.complete(request, on_arrival=lambda _: None)


async def _start_vm(folder: Path, number: int, fleet: ControlFleet) -> VmProcess:
    name = f"entry-{number + 1}"
    settings = {
        "name": name,
        "data_center": DATA_CENTERS[number % len(DATA_CENTERS)],
        "listen": FREE_PORT,
        "peer_listen": FREE_PORT,
        "platform": {"addresses": [str(fleet.cluster.platform_address)]},
        "seeds": [str(vm.peers) for vm in fleet.vms[:3]],
    }
    file = folder / f"{name}.json"
    file.write_bytes(msgspec.json.encode(settings))
    process = _spawn(file)
    assert process.stdout is not None
    line = await trio.to_thread.run_sync(process.stdout.readline)
    return _parse_ready(name, process, line)


def _spawn(file: Path) -> subprocess.Popen[str]:
    command = [sys.executable, "-m", "lagoonlever", "entry", "--settings", str(file)]
    return subprocess.Popen([*command, "--log-level", "error"], stdout=subprocess.PIPE, text=True)


def _parse_ready(name: str, process: subprocess.Popen[str], line: str) -> VmProcess:
    words = line.replace(",", "").split()
    if not line.startswith("listening on"):
        process.kill()
        raise LagoonleverException(f"{name} did not start: {line!r}")
    return VmProcess(
        name=name,
        process=process,
        address=Address.parse(words[2]),
        peers=Address.parse(words[-1]),
    )


def _listed_vm(vm: VmProcess) -> WireVm:
    return WireVm(
        name=vm.name,
        address=str(vm.address),
        peer_address=str(vm.peers),
        data_center=DATA_CENTERS[0],
        role="entry",
    )
