"""Bids through real processes that are stopped, continued and killed by signals."""

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
PATIENCE_S = 60.0
PAUSE_S = 3.0
"""Longer than any pause threshold; the time that a process stays stopped."""
LEFT_S = 1.4
"""Long enough that a bid which looks new outlives the checks that follow a pause."""
BIDS = "/services/application/bids"
COPIED_BYTES = 'lagoonlever_control_bytes_total{direction="received",message="key-answer"'


@attrs.define(kw_only=True)
class Deployment:
    """A platform, an application runner and two entry VMs, each a process."""

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

    def copied_bytes(self, vm: int) -> float:
        """Give the bytes of settled answers that this VM received from other homes."""
        text = self.request(self.vms[vm].address, "/metrics").body.decode()
        lines = [line for line in text.splitlines() if line.startswith(COPIED_BYTES)]
        return sum(float(line.rpartition(" ")[2]) for line in lines)

    def bid_copied(self, vm: int, key: str, *, to: int) -> Response:
        """Send a bid, and wait until another VM holds a copy of its answer."""
        before = self.copied_bytes(to)
        answer = self.bid(vm, key)
        give_up_at = time.monotonic() + PATIENCE_S
        while self.copied_bytes(to) == before:
            assert time.monotonic() < give_up_at, "no copy of the answer arrived"
            time.sleep(0.05)
        return answer

    def executions(self) -> dict[str, int]:
        body = self.request(self.fleet.processes[RUNNER].address, "/executions").body
        return dict(json.loads(body)["by_key"])

    def mint(self, vm: int, random: str) -> str:
        """Mint a key whose home is this VM, from what the VM tells callers."""
        home = self.vms[vm]
        body = json.loads(self.request(home.address, "/v1/entry").body)
        given = body["key_home"]
        assert given is not None
        return f"{given['home']}:{given['life_s'] + given['lifetime_s']}:{random}"


@contextlib.contextmanager
def deployment(directory: Path, *, service_s: float = 0.005) -> Iterator[Deployment]:
    """Run a deployment until the block ends; wait first until both VMs serve each other's keys."""
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
    """A VM is killed while the service works on a bid; the dealer asks the other VM, twice.

    The two bids are left after half a second each, so the service works for much longer.
    """
    with deployment(tmp_path, service_s=6.0) as site:
        keys = ["bid-1", site.mint(0, "random-12345678")]
        for key in keys:
            site.bid_unheard(0, key)
        site.vms[0].send(signal.SIGKILL)
        for key in keys * 2:
            assert (outcome(site.bid(1, key))) == "unknown"
        executions = site.executions()
        assert all(executions.get(key, 0) <= 1 for key in keys)


def test_a_repeat_outlives_its_killed_home(tmp_path: Path) -> None:
    """A bid was answered and its VM is killed before the dealer, who heard nothing, asks again.

    The other VM holds a copy of the answer, and gives it. A copy is sent as the answer is
    given; a home killed in between leaves "unknown", so the kill waits for the copies.
    """
    with deployment(tmp_path) as site:
        keys = ["bid-1", site.mint(0, "random-12345678")]
        answers = [site.bid_copied(0, key, to=1) for key in keys]
        site.vms[0].send(signal.SIGKILL)
        for key, answer in zip(keys, answers, strict=True):
            repeat = site.bid(1, key)
            assert (outcome(repeat), repeat.body) == ("done", answer.body)
        executions = site.executions()
        assert [executions[key] for key in keys] == [1, 1]
