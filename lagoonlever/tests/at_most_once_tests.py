"""Keyed requests through real processes that are stopped, continued and killed by signals.

The requests are bids, which an application service must not execute twice.
"""

from __future__ import annotations

import contextlib
import json
import signal
import time
from collections.abc import Iterator
from pathlib import Path

import attrs
import trio

from lagoonlever.decisions.claims.keys import KEY_HEADER
from lagoonlever.exceptions import PeerTimeout
from lagoonlever.http.client import Response, fetch
from lagoonlever.http.messages import Address, Headers
from lagoonlever.outcomes import OUTCOME_HEADER, REASON_HEADER
from lagoonlever.tests.processes import Fleet, Process, fleet

RUNNER = "application-1"
WAIT_TIMEOUT_S = 60.0
PAUSE_S = 3.0
"""The time that a process stays stopped; longer than any threshold of pause detection."""
REMAINING_S = 1.4
"""The time to a bid's deadline; it must outlast the checks that follow a pause.

Then a VM that wrongly takes the bid for a new one does send it, and the test fails.
"""
BIDS = "/services/application/bids"
COPIED_BYTES_METRIC = 'lagoonlever_control_bytes_total{direction="received",message="key-answer"'


@attrs.define(kw_only=True)
class Deployment:
    """A store, an application runner and two entry VMs, each a process."""

    fleet: Fleet

    @property
    def vms(self) -> list[Process]:
        return self.fleet.vms

    def request(
        self,
        address: Address,
        path: str,
        *,
        method: str = "GET",
        body: bytes = b"",
        headers: Headers | None = None,
        timeout_s: float = WAIT_TIMEOUT_S,
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
        self,
        vm: int,
        key: str,
        *,
        remaining_s: float | None = None,
        timeout_s: float = WAIT_TIMEOUT_S,
    ) -> Response:
        headers = Headers(((KEY_HEADER, key),))
        if remaining_s is not None:
            headers = headers.with_field("Lagoonlever-Deadline-S", str(remaining_s))
        address = self.vms[vm].address
        return self.request(
            address, BIDS, method="POST", body=b"{}", headers=headers, timeout_s=timeout_s
        )

    def bid_without_waiting(self, vm: int, key: str, *, remaining_s: float | None = None) -> None:
        """Send a bid and disconnect after 0.5 s, before it is answered."""
        with contextlib.suppress(PeerTimeout):
            self.bid(vm, key, remaining_s=remaining_s, timeout_s=0.5)

    def copied_bytes(self, vm: int) -> float:
        """Return the bytes of settled answers that this VM received from other homes."""
        text = self.request(self.vms[vm].address, "/metrics").body.decode()
        lines = [line for line in text.splitlines() if line.startswith(COPIED_BYTES_METRIC)]
        return sum(float(line.rpartition(" ")[2]) for line in lines)

    def bid_and_await_copy(self, vm: int, key: str, *, to: int) -> Response:
        """Send a bid, and return its answer once the VM ``to`` holds a copy of it."""
        before = self.copied_bytes(to)
        answer = self.bid(vm, key)
        give_up_at = time.monotonic() + WAIT_TIMEOUT_S
        while self.copied_bytes(to) == before:
            assert time.monotonic() < give_up_at, "no copy of the answer arrived"
            time.sleep(0.05)
        return answer

    def executions(self) -> dict[str, int]:
        body = self.request(self.fleet.processes[RUNNER].address, "/executions").body
        return dict(json.loads(body)["by_key"])

    def mint(self, vm: int, random: str) -> str:
        """Return a new key whose home is this VM, from the data that the VM gives to callers."""
        home = self.vms[vm]
        body = json.loads(self.request(home.address, "/v1/entry").body)
        key_home = body["key_home"]
        assert key_home is not None
        return f"{key_home['home']}:{key_home['life_s'] + key_home['lifetime_s']}:{random}"


@contextlib.contextmanager
def deployment(directory: Path, *, service_s: float = 0.005) -> Iterator[Deployment]:
    """Run a deployment for the block, once each VM forwards requests to the other's keys."""
    with fleet(directory, engines=0, vms=2) as running:
        arguments = ("fake", "application", "--service-s", str(service_s))
        running.read_ready(running.start(RUNNER, "application", *arguments))
        trio.run(running.publish_list)
        site = Deployment(fleet=running)
        for number in range(2):
            wait_until_forwarded(site, number)
        yield site
        running.check()


def wait_until_forwarded(site: Deployment, home: int) -> None:
    """Wait until a bid whose home is this VM succeeds through the other VM."""
    give_up_at = time.monotonic() + WAIT_TIMEOUT_S
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


def test_request_queued_at_a_stopped_vm_is_not_sent_after_its_deadline(tmp_path: Path) -> None:
    """Guard against a request that is sent after its deadline because its VM was stopped.

    The request arrives in the socket of a stopped VM shortly before its deadline.
    When the process continues, the request seems to be new; sent then, it would be
    a bid for an auction that is over.
    """
    with deployment(tmp_path) as site:
        key = site.mint(0, "random-12345678")
        site.vms[0].send(signal.SIGSTOP)
        site.bid_without_waiting(0, key, remaining_s=REMAINING_S)
        elsewhere = site.bid(1, key, remaining_s=REMAINING_S)
        assert (outcome(elsewhere), reason(elsewhere)) == ("unknown", "home-unreachable")
        site.vms[0].send(signal.SIGCONT)
        for vm in (1, 0):
            assert outcome(site.bid(vm, key)) == "not-run"
        assert key not in site.executions()


def test_home_that_continues_after_a_stop_runs_the_request_once(tmp_path: Path) -> None:
    """Guard against a second run of a request whose home is stopped while it runs.

    A VM claims a key and is stopped before the request is done. The caller retries
    at the other VM, which must neither run the request nor answer "not run". Once
    the home continues, both VMs must return the same answer.
    """
    with deployment(tmp_path, service_s=1.0) as site:
        site.bid_without_waiting(0, "bid-1")
        site.vms[0].send(signal.SIGSTOP)
        assert outcome(site.bid(1, "bid-1")) == "unknown"
        time.sleep(PAUSE_S)
        site.vms[0].send(signal.SIGCONT)
        first, second = site.bid(0, "bid-1"), site.bid(1, "bid-1")
        assert outcome(first) in ("done", "unknown")
        assert (second.status, second.body) == (first.status, first.body)
        assert site.executions()["bid-1"] == 1


def test_outcome_is_unknown_after_the_home_is_killed(tmp_path: Path) -> None:
    """Guard against a second run, or a wrong outcome, after the home is killed.

    A VM is killed while the service works on two bids, and the caller retries each
    twice at the other VM, which cannot know what ran. The caller disconnects after
    half a second per bid; the service takes much longer (6 s), so both still run when
    the VM is killed.
    """
    with deployment(tmp_path, service_s=6.0) as site:
        keys = ["bid-1", site.mint(0, "random-12345678")]
        for key in keys:
            site.bid_without_waiting(0, key)
        site.vms[0].send(signal.SIGKILL)
        for key in keys * 2:
            assert (outcome(site.bid(1, key))) == "unknown"
        executions = site.executions()
        assert all(executions.get(key, 0) <= 1 for key in keys)


def test_copied_answer_is_returned_after_the_home_is_killed(tmp_path: Path) -> None:
    """Guard against the loss of an answer when its home is killed after the request ran.

    The caller did not receive the answer and retries at the other VM, which must
    return its copy. The copy is sent while the caller is answered, and a home that is
    killed between the two leaves "unknown", so the test waits for the copies first.
    """
    with deployment(tmp_path) as site:
        keys = ["bid-1", site.mint(0, "random-12345678")]
        answers = [site.bid_and_await_copy(0, key, to=1) for key in keys]
        site.vms[0].send(signal.SIGKILL)
        for key, answer in zip(keys, answers, strict=True):
            repeat = site.bid(1, key)
            assert (outcome(repeat), repeat.body) == ("done", answer.body)
        executions = site.executions()
        assert [executions[key] for key in keys] == [1, 1]
