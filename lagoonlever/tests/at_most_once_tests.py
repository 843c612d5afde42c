"""Bids through real processes that are stopped, continued and killed by signals."""

from __future__ import annotations

import contextlib
import json
import signal
import subprocess
import sys
import time
from collections.abc import Iterator
from pathlib import Path

import attrs
import trio

from lagoonlever.decisions.claims_keys import KEY_HEADER
from lagoonlever.exceptions import PeerTimeout
from lagoonlever.http.client import Response, fetch
from lagoonlever.http.messages import Address, Headers
from lagoonlever.outcomes import OUTCOME_HEADER, REASON_HEADER

READY = "listening on "
PATIENCE_S = 60.0
PAUSE_S = 3.0
"""Longer than any pause threshold; the time that a process stays stopped."""
LEFT_S = 1.4
"""Long enough that a bid which looks new outlives the checks that follow a pause."""
BIDS = "/services/application/bids"


@attrs.define(kw_only=True)
class Process:
    """One process with its addresses, as it told them on its first line."""

    popen: subprocess.Popen[str]
    address: Address
    peers: Address | None

    def send(self, number: signal.Signals) -> None:
        self.popen.send_signal(number)


@attrs.define(kw_only=True)
class Deployment:
    """A platform, an application runner and two entry VMs."""

    platform: Process
    application: Process
    vms: list[Process]

    def request(
        self,
        address: Address,
        path: str,
        *,
        method: str = "GET",
        body: bytes = b"",
        headers: Headers | None = None,
        timeout_s: float = PATIENCE_S,
    ) -> Response:
        async def send() -> Response:
            return await fetch(
                address,
                method=method,
                path=path,
                body=body,
                headers=headers,
                step="test",
                timeout_s=timeout_s,
            )

        return trio.run(send)

    def bid(
        self, vm: int, key: str, *, left_s: float | None = None, timeout_s: float = PATIENCE_S
    ) -> Response:
        headers = Headers(((KEY_HEADER, key),))
        if left_s is not None:
            headers = headers.with_field("Lagoonlever-Deadline-S", str(left_s))
        address = self.vms[vm].address
        return self.request(
            address, BIDS, method="POST", body=b"{}", headers=headers, timeout_s=timeout_s
        )

    def bid_unheard(self, vm: int, key: str, *, left_s: float | None = None) -> None:
        """Send a bid and leave before it is answered."""
        with contextlib.suppress(PeerTimeout):
            self.bid(vm, key, left_s=left_s, timeout_s=0.5)

    def executions(self) -> dict[str, int]:
        body = self.request(self.application.address, "/executions").body
        return dict(json.loads(body)["by_key"])

    def mint(self, vm: int, random: str) -> str:
        """Mint a key whose home is this VM, from what the VM tells callers."""
        home = self.vms[vm]
        body = json.loads(self.request(home.address, "/v1/entry").body)
        given = body["key_home"]
        assert given is not None
        return f"{given['home']}:{given['life_s'] + given['lifetime_s']}:{random}"


def start(*arguments: str, directory: Path) -> Process:
    """Start a process; what it says of its own faults is kept for a failed test."""
    command = [sys.executable, "-m", "lagoonlever", *arguments]
    said = directory / f"{'-'.join(arguments[:2]).replace('/', '-')}-{time.monotonic_ns()}.log"
    with said.open("w") as errors:
        popen = subprocess.Popen(command, stdout=subprocess.PIPE, stderr=errors, text=True)
    assert popen.stdout is not None
    line = popen.stdout.readline().strip()
    assert line.startswith(READY), said.read_text()
    address, _, peers = line.removeprefix(READY).partition(", peers on ")
    return Process(
        popen=popen,
        address=Address.parse(address),
        peers=Address.parse(peers) if peers else None,
    )


def start_vm(name: str, platform: Address, seeds: list[Address], directory: Path) -> Process:
    settings = {
        "name": name,
        "data_center": "dc-a",
        "listen": "127.0.0.1:0",
        "peer_listen": "127.0.0.1:0",
        "platform": {"addresses": [str(platform)]},
        "seeds": [str(seed) for seed in seeds],
        "services": {"call_timeout_s": 2.0},
    }
    path = directory / f"{name}.json"
    path.write_text(json.dumps(settings))
    return start("entry", "--settings", str(path), directory=directory)


@contextlib.contextmanager
def deployment(directory: Path, *, service_s: float = 0.005) -> Iterator[Deployment]:
    """Run a deployment until the block ends; wait first until both VMs serve each other's keys."""
    started: list[Process] = []
    try:
        platform = start("fake", "platform", directory=directory)
        started.append(platform)
        application = start(
            "fake", "application", "--service-s", str(service_s), directory=directory
        )
        started.append(application)
        first = start_vm("vm-1", platform.address, [], directory)
        started.append(first)
        assert first.peers is not None
        second = start_vm("vm-2", platform.address, [first.peers], directory)
        started.append(second)
        site = Deployment(platform=platform, application=application, vms=[first, second])
        publish_list(site)
        for number in range(2):
            wait_until_forwarded(site, number)
        yield site
    finally:
        for process in started:
            process.popen.kill()
            process.popen.wait()
        for said in sorted(directory.glob("*.log")):
            print(said.name, said.read_text(), sep="\n")


def publish_list(site: Deployment) -> None:
    listed = [
        {
            "name": f"vm-{number + 1}",
            "address": str(vm.address),
            "peer_address": str(vm.peers),
            "data_center": "dc-a",
            "role": "entry",
            "state": "live",
        }
        for number, vm in enumerate(site.vms)
    ]
    listed.append(
        {
            "name": "application-1",
            "address": str(site.application.address),
            "data_center": "dc-a",
            "role": "application",
            "state": "live",
        }
    )
    body = json.dumps({"vms": listed}).encode()
    response = site.request(site.platform.address, "/vms", method="POST", body=body)
    assert response.status == 200


def wait_until_forwarded(site: Deployment, home: int) -> None:
    """Wait until a bid for this home goes through the other VM."""
    give_up_at = time.monotonic() + PATIENCE_S
    number = 0
    while True:
        number += 1
        key = f"ready-{home}-{number}"
        if outcome(site.bid(home, key)) == "done" and outcome(site.bid(1 - home, key)) == "done":
            return
        assert time.monotonic() < give_up_at, "the VMs did not find each other"
        time.sleep(0.2)


def outcome(response: Response) -> str:
    return response.headers.get(OUTCOME_HEADER) or ""


def reason(response: Response) -> str:
    return response.headers.get(REASON_HEADER) or ""


def test_a_bid_that_waits_in_a_stopped_vm_is_not_sent_after_its_deadline(tmp_path: Path) -> None:
    """A VM is stopped; a bid with little time left arrives in its socket.

    When the VM goes on the bid looks new, and a naive VM sends it: a bid that
    was meant for an auction that is over.
    """
    with deployment(tmp_path) as site:
        key = site.mint(0, "random-12345678")
        site.vms[0].send(signal.SIGSTOP)
        site.bid_unheard(0, key, left_s=LEFT_S)
        elsewhere = site.bid(1, key, left_s=LEFT_S)
        assert (outcome(elsewhere), reason(elsewhere)) == ("unknown", "home-unreachable")
        site.vms[0].send(signal.SIGCONT)
        for vm in (1, 0):
            assert outcome(site.bid(vm, key)) == "not-run"
        assert key not in site.executions()


def test_the_holder_of_a_claim_wakes_and_runs_the_bid_once(tmp_path: Path) -> None:
    """A VM claims a bid, is stopped before it is done, and goes on later.

    Meanwhile the dealer asks the other VM, which must neither run the bid nor
    say "not run"; afterwards both VMs give the one answer.
    """
    with deployment(tmp_path, service_s=1.0) as site:
        site.bid_unheard(0, "bid-1")
        site.vms[0].send(signal.SIGSTOP)
        assert outcome(site.bid(1, "bid-1")) == "unknown"
        time.sleep(PAUSE_S)
        site.vms[0].send(signal.SIGCONT)
        first, second = site.bid(0, "bid-1"), site.bid(1, "bid-1")
        assert outcome(first) in ("done", "unknown")
        assert (second.status, second.body) == (first.status, first.body)
        assert site.executions()["bid-1"] == 1


def test_a_killed_home_leaves_its_bids_unknown(tmp_path: Path) -> None:
    """A VM is killed while the service works on a bid; the dealer asks the other VM, twice."""
    with deployment(tmp_path, service_s=1.0) as site:
        keys = ["bid-1", site.mint(0, "random-12345678")]
        for key in keys:
            site.bid_unheard(0, key)
        site.vms[0].send(signal.SIGKILL)
        for key in keys * 2:
            assert (outcome(site.bid(1, key))) == "unknown"
        executions = site.executions()
        assert all(executions.get(key, 0) <= 1 for key in keys)
