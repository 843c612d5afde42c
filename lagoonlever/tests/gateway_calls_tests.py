"""Calls of application services through gateways: repeated where they may be, else run once."""

from __future__ import annotations

import copy
from collections import Counter
from typing import Any

import pytest
import trio

from lagoonlever.decisions.targets.listed_target import ListedTarget
from lagoonlever.fakes.platform_runner import Conduct
from lagoonlever.gateway import front_parts, parts
from lagoonlever.gateway.target_client import NotSent, TargetClient
from lagoonlever.http.client import ClientConnection
from lagoonlever.http.messages import Headers
from lagoonlever.platform.headers import ORGANISATION
from lagoonlever.tests.gateway_site import KEY, GatewaySite, run_site, until_within

ARRIVES_S = 0.1
"""Within which what was written to a runner has come there."""
ROUNDS = 20
UNPROVEN = (502, 504)
"""Statuses that say nothing of whether the request has run."""


def runs(site: GatewaySite) -> Counter[str]:
    total: Counter[str] = Counter()
    for runner in site.runners.values():
        total.update(runner.runs)
    return total


def order(site: GatewaySite, conduct: Conduct, *, count: int = 5) -> None:
    for runner in site.runners.values():
        runner.conducts.extend([conduct] * count)


def test_a_call_arrives_unchanged_and_its_answer_comes_back_unchanged() -> None:
    async def story(site: GatewaySite) -> None:
        answer = await site.call("/bid/7?lot=1&x=%20", body=b"bid", headers=site.headers("r-9"))
        assert (answer.status, answer.body) == (200, b"answer to r-9")
        assert answer.headers.get("Response-Seal") == "seal-r-9"
        assert answer.headers.get("Keep-Alive") is None
        sent = next(runner.seen[0] for runner in site.runners.values() if runner.seen)
        assert sent.get(ORGANISATION) == "org-1"
        assert KEY not in str(sent)
        assert 4_000 < int(sent.get("Deadline-Ms") or 0) <= 5_000

    run_site(story, engines=0)


@pytest.mark.parametrize(
    "conduct",
    [
        Conduct.LOSE_ANSWER,
        Conduct.CUT_ANSWER,
        Conduct.FOREIGN_ANSWER,
        Conduct.GARBAGE,
    ],
)
def test_a_bid_whose_answer_went_wrong_never_runs_again(conduct: Conduct) -> None:
    """A runner has run a bid and its answer is lost, cut, another's, or no answer at all.

    Sent once more, the dealer would have bid twice; told "not run", he would bid again.
    """

    async def story(site: GatewaySite) -> None:
        order(site, conduct)
        answer = await site.call("/bid/1", body=b"bid")
        assert answer.status in UNPROVEN
        assert list(runs(site).values()) == [1]

    run_site(story, engines=0)


def test_a_bid_that_ran_is_not_called_unrun_by_the_status_of_its_runner() -> None:
    """A runner has run a bid and failed with 503, which promises callers that it has not run."""

    async def story(site: GatewaySite) -> None:
        order(site, Conduct.FAIL_BUSY)
        answer = await site.call("/bid/1", body=b"bid")
        assert answer.status in UNPROVEN
        assert answer.headers.get("Response-Seal") is None
        assert list(runs(site).values()) == [1]

    run_site(story, engines=0)


def test_a_lookup_that_failed_gets_its_runner_s_own_answer() -> None:
    async def story(site: GatewaySite) -> None:
        order(site, Conduct.FAIL_BUSY)
        answer = await site.call("/look/1", headers=site.headers("r-9"))
        assert (answer.status, answer.body) == (503, b"answer to r-9")
        assert answer.headers.get("Response-Seal") == "seal-r-9"

    run_site(story, engines=0)


def test_an_answer_without_a_length_is_whole_as_its_connection_ends() -> None:
    """Guards against a bid that has run and is told to be lost."""

    async def story(site: GatewaySite) -> None:
        order(site, Conduct.NO_LENGTH)
        answer = await site.call("/bid/7", body=b"bid", headers=site.headers("r-9"))
        assert (answer.status, answer.body) == (200, b"answer to r-9")
        assert list(runs(site).values()) == [1]

    run_site(story, engines=0)


def test_a_bid_that_is_never_answered_is_told_at_its_deadline() -> None:
    async def story(site: GatewaySite) -> None:
        order(site, Conduct.STAY_SILENT)
        started = trio.current_time()
        answer = await site.call("/bid/1", headers=site.headers(Deadline_Ms="400"))
        assert answer.status == 504
        assert trio.current_time() - started < 2.0

    run_site(story, engines=0)


def test_a_lookup_that_is_never_answered_is_not_told_as_not_run() -> None:
    """Both runners have taken a lookup and stay silent until its deadline.

    The call was written twice when its time ended: "not run" would be false. It is true only
    of a call that no runner has got, as its time ended before it could be written.
    """

    async def story(site: GatewaySite) -> None:
        order(site, Conduct.STAY_SILENT, count=ROUNDS)
        for number in range(ROUNDS):
            request = f"r-silent-{number}"
            headers = site.headers(request, Deadline_Ms="400")
            answer = await site.call("/look/1", method="GET", headers=headers)
            await trio.sleep(ARRIVES_S)
            taken = [runner for runner in site.runners.values() if request in runner.arrivals]
            assert answer.status == (504 if taken else 503)
            if len(taken) == len(site.runners):
                return
        raise AssertionError(f"no lookup of {ROUNDS} came to both runners")

    run_site(story, engines=0)


def test_a_bid_that_a_runner_refuses_unread_is_told_as_not_run() -> None:
    async def story(site: GatewaySite) -> None:
        order(site, Conduct.REFUSE)
        answer = await site.call("/bid/1")
        assert answer.status == 503
        assert float(answer.headers.get("Retry-After") or 0) > 0
        assert not runs(site)

    run_site(story, engines=0)


def test_a_bid_goes_to_another_runner_where_nothing_could_be_sent() -> None:
    async def story(site: GatewaySite) -> None:
        site.crash("runner-0")
        for number in range(6):
            answer = await site.call(f"/bid/{number}")
            assert answer.status == 200

    run_site(story, engines=0)


@pytest.mark.parametrize(
    "conduct",
    [
        Conduct.LOSE_ANSWER,
        Conduct.CUT_ANSWER,
        Conduct.FOREIGN_ANSWER,
        Conduct.GARBAGE,
        Conduct.FAIL,
        Conduct.REFUSE,
        Conduct.STAY_SILENT,
    ],
)
def test_a_lookup_goes_to_a_second_runner(conduct: Conduct) -> None:
    """Whatever one runner does with a lookup, the other answers it in time."""

    async def story(site: GatewaySite) -> None:
        site.runners["runner-0"].conducts.extend([conduct] * 20)
        for number in range(4):
            answer = await site.call(f"/look/{number}", method="GET")
            assert answer.status == 200

    run_site(story, engines=0)


def connect_late(monkeypatch: pytest.MonkeyPatch, *late: str) -> None:
    """Have the next connection to each of these targets take too long."""
    connect, left = TargetClient.connect, list(late)

    async def connect_or_not(
        client: TargetClient, target: ListedTarget, **more: Any
    ) -> ClientConnection | NotSent:
        if target.id in left:
            left.remove(target.id)
            return NotSent(detail="timed out")
        return await connect(client, target, **more)

    monkeypatch.setattr(TargetClient, "connect", connect_or_not)


@pytest.mark.parametrize("late", [("runner-0",), ("runner-1",), ("runner-0", "runner-1")])
def test_a_lookup_goes_on_after_connections_that_were_late(
    late: tuple[str, ...], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a runner's failure that is passed on as the other was not reached at once."""
    connect_late(monkeypatch, *late)

    async def story(site: GatewaySite) -> None:
        site.runners["runner-0"].conducts.extend([Conduct.FAIL] * 20)
        for number in range(4):
            answer = await site.call(f"/look/{number}", method="GET")
            assert answer.status == 200

    run_site(story, engines=0)


def test_a_lookup_at_a_silent_runner_goes_on_after_a_connection_that_was_late(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a lookup that waits for a silent runner alone until its time is over."""
    connect_late(monkeypatch, "runner-1")

    async def story(site: GatewaySite) -> None:
        site.runners["runner-0"].conducts.extend([Conduct.STAY_SILENT] * 20)
        for number in range(4):
            answer = await site.call(f"/look/{number}", method="GET")
            assert answer.status == 200

    run_site(story, engines=0)


def test_a_bid_goes_on_after_connections_that_were_late(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a bid that is refused though a runner of its service has room."""
    connect_late(monkeypatch, "runner-0", "runner-1")

    async def story(site: GatewaySite) -> None:
        answer = await site.call("/bid/1", headers=site.headers("r-5"))
        assert answer.status == 200
        assert runs(site) == {"r-5": 1}

    run_site(story, engines=0)


def test_a_lookup_that_every_runner_fails_gets_the_runner_s_own_answer() -> None:
    async def story(site: GatewaySite) -> None:
        order(site, Conduct.FAIL)
        answer = await site.call("/look/1", method="GET", headers=site.headers("r-5"))
        assert (answer.status, answer.body) == (500, b"answer to r-5")
        assert answer.headers.get("Response-Seal") == "seal-r-5"

    run_site(story, engines=0)


def test_a_draining_runner_gets_nothing_new() -> None:
    async def story(site: GatewaySite) -> None:
        site.list_target("runner-0", service="apps", state="draining")
        registry = site.vms["vm-0"].daemon.parts.beliefs.targets
        await until_within(2.0, lambda: not registry.takes_work("runner-0"))
        for number in range(6):
            await site.call(f"/bid/{number}")
        assert not site.runners["runner-0"].arrivals

    run_site(story, engines=0)


def test_an_address_that_another_process_has_runs_nothing() -> None:
    """A runner is gone and its address was given to another service's process."""

    async def story(site: GatewaySite) -> None:
        site.runners["runner-0"].target_id = "somebody-else"
        for number in range(6):
            await site.call(f"/look/{number}", method="GET")
        assert not site.runners["runner-0"].runs
        assert len(site.runners["runner-0"].arrivals) == 1

    run_site(story, engines=0)


def test_fields_that_are_the_system_s_to_set_are_taken_from_callers() -> None:
    """A caller names another organisation, a hold, a copy of memory: none of it arrives."""

    async def story(site: GatewaySite) -> None:
        forged = {
            "Tenant": "somebody-else",
            "Hold": "h-1",
            "Pin_Ms": "1000",
            "Kv_From": "10.0.0.1:80/x",
            "Kv_Backup": "10.0.0.1:80",
            "Kv_Fetch": "10.0.0.1:80",
            "Request_Priority": "0",
            "Expect_Instance": "x",
            "Connection": "X-Private",
            "X_Private": "1",
        }
        answer = await site.call("/bid/1", headers=site.headers(**forged))
        assert answer.status == 200
        sent = next(runner.seen[0] for runner in site.runners.values() if runner.seen)
        assert sent.get(ORGANISATION) == "org-1"
        kept = {name.lower() for name, _ in sent.pairs}
        assert not kept & {"hold", "pin-ms", "kv-from", "kv-backup", "kv-fetch", "x-private"}
        assert "request-priority" not in kept

    run_site(story, engines=0)


@pytest.mark.parametrize(
    ("path", "key", "status"),
    [("/bid/1", "unknown", 401), ("/bid/1", "", 401), ("/elsewhere/1", KEY, 404)],
)
def test_what_the_configuration_does_not_allow_is_told_so(path: str, key: str, status: int) -> None:
    async def story(site: GatewaySite) -> None:
        headers = site.headers(Authorization=f"Bearer {key}" if key else "")
        assert (await site.call(path, headers=headers)).status == status
        assert not runs(site)

    run_site(story, engines=0)


def test_a_smuggled_request_never_arrives() -> None:
    """A caller tells its body's length in two ways and hides a request behind the shorter one."""

    async def story(site: GatewaySite) -> None:
        stream = await trio.open_tcp_stream(
            site.vms["vm-0"].settings.listen.host, site.vms["vm-0"].settings.listen.port
        )
        hidden = b"GET /look/1 HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: hidden\r\n\r\n"
        head = (
            b"POST /bid/1 HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: outer\r\n"
            b"Authorization: Bearer key-1\r\nTransfer-Encoding: chunked\r\n"
            b"Content-Length: 4\r\n\r\n0\r\n\r\n"
        )
        async with stream:
            await stream.send_all(head + hidden)
            answer = b""
            while piece := await stream.receive_some(4096):
                answer += piece
        assert answer.startswith(b"HTTP/1.1 400")
        assert answer.count(b"HTTP/1.1") == 1
        assert not runs(site)

    run_site(story, engines=0)


def test_headers_without_an_id_are_refused() -> None:
    async def story(site: GatewaySite) -> None:
        headers = Headers((("Host", "shop.example"), ("Authorization", f"Bearer {KEY}")))
        assert (await site.call("/bid/1", headers=headers)).status == 400

    run_site(story, engines=0)


def test_lookups_whose_callers_left_take_no_room_at_their_runner(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Clerks look up prices at a slow runner and leave before it answers, all day.

    A VM counts what it has open at a runner. What was broken off was never counted off again,
    so after as many callers as it may have open it told everybody that no runner has room.
    """
    monkeypatch.setattr(front_parts, "MOST_OUTSTANDING", 3)

    async def story(site: GatewaySite) -> None:
        order(site, Conduct.STAY_SILENT)
        for number in range(5):
            with trio.move_on_after(0.2):
                await site.call(f"/look/{number}")
        site.runners["runner-0"].conducts.clear()
        gateway = site.vms["vm-0"].daemon.parts
        await until_within(5.0, lambda: gateway.open_requests() == 0)
        answer = await site.call("/look/last")
        assert answer.status == 200, answer.body

    run_site(story, engines=0, runners=1, vms=1)


def test_a_call_that_waits_for_its_only_runner_uses_up_no_repeats() -> None:
    """Guards against failed calls that are not sent again as slow ones have spent the budget."""

    async def story(site: GatewaySite) -> None:
        next(iter(site.runners.values())).work_s = 0.6
        vm = site.vms["vm-0"].daemon.parts
        before = spare_repeats(vm)
        answer = await site.call("/look/1", method="GET")
        assert answer.status == 200
        assert spare_repeats(vm) >= before

    run_site(story, engines=0, runners=1, vms=1)


def spare_repeats(of: parts.GatewayParts) -> int:
    """Give how many repeats the budget of calls still allows, without taking one."""
    spare = copy.deepcopy(of.budgets.of_calls("apps"))
    count = 0
    while spare.try_record_retry(of.timers.now, vms=1):
        count += 1
    return count
