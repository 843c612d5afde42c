"""Answers of targets in trouble that are no whole answers: no status, or cut as they come early."""

from __future__ import annotations

import socket
import struct
from typing import Any

import attrs
import pytest
import trio

from lagoonlever.fakes.raw_answers import raw_answer, raw_head
from lagoonlever.fakes.scripted_answers import ScriptedAnswer
from lagoonlever.platform.headers import REQUEST_ID, SEAL
from lagoonlever.tests.gateway_calls_tests import UNPROVEN
from lagoonlever.tests.gateway_site import GatewaySite, run_site
from lagoonlever.tests.handed_over_tests import cut
from lagoonlever.tests.late_copies_tests import configured, with_attempts
from lagoonlever.tests.refusals_tests import WAYS, play

NAMED = ((REQUEST_ID, "{id}"), (SEAL, "seal-{id}"))
STATUSES = ("000", "099", "600", "999")
BROKEN = ScriptedAnswer(status=None)
UPLOAD = b"x" * 4_000_000
"""More than the buffers of all connections on the way hold."""
RESETS_AFTER_S = (0.0, 0.03, 0.2)
RESET_BY_CLOSE = struct.pack("ii", 1, 0)
EVENT = b"id: 1\ndata: p-1 1 by v1\n\n"


SPOILT = {
    "unsealed": (NAMED[:1],),
    "encoded": ((*NAMED, ("Content-Encoding", "gzip")),),
}
SUCCESSES = ("200 OK", "201 Created", "299 Odd")


def _spoilt(kind: str, status: str) -> ScriptedAnswer:
    return attrs.evolve(BROKEN, before=raw_answer(*SPOILT[kind], status=status, body=b"spoilt"))


def _without_status(status: str) -> ScriptedAnswer:
    answer = raw_answer(NAMED, status=f"{status} Trouble", body=b"trouble")
    return attrs.evolve(BROKEN, before=answer)


@pytest.mark.parametrize("way", WAYS)
@pytest.mark.parametrize("status", STATUSES)
@pytest.mark.parametrize("call", [("POST", "/bid/1"), ("GET", "/look/1")], ids=["bid", "lookup"])
def test_a_call_whose_answer_has_no_valid_status_has_no_answer(
    call: tuple[str, str], status: str, way: str
) -> None:
    """Clients got such a number as the status of an answer."""

    async def story(site: GatewaySite) -> None:
        await configured(site, with_attempts("bid", 1))
        runner = site.runners["runner-0"]
        runner.scripted.next_ones.extend([_without_status(status)] * 10)
        method, path = call
        answer = await site.call(path, method=method, headers=site.headers(Deadline_Ms="1500"))
        assert answer.status in UNPROVEN

    play(story, way=way)


@pytest.mark.parametrize("way", WAYS)
@pytest.mark.parametrize("status", STATUSES)
def test_a_stream_goes_on_after_an_answer_that_has_no_valid_status(status: str, way: str) -> None:
    """Guards against a stream that ends with the number of an engine in trouble."""

    async def story(site: GatewaySite) -> None:
        await site.wait_met()
        if way == "peer":
            await cut(site)
        for engine in site.engines.values():
            engine.scripted.next_ones.append(_without_status(status))
        stream = await site.stream("p-1", events=5)
        assert stream.whole
        assert stream.is_events("p-1", 1, 5)

    run_site(story, engines=2, runners=0, vms=2, cuttable=way == "peer")


@pytest.mark.parametrize("way", WAYS)
@pytest.mark.parametrize("status", SUCCESSES)
@pytest.mark.parametrize("kind", SPOILT)
@pytest.mark.parametrize("call", [("POST", "/bid/1"), ("GET", "/look/1")], ids=["bid", "lookup"])
def test_a_success_without_its_seal_or_with_an_encoded_body_is_no_answer_to_a_call(
    call: tuple[str, str], kind: str, status: str, way: str
) -> None:
    """Clients got what was left of an answer whose head had lost a line as a success."""

    async def story(site: GatewaySite) -> None:
        await configured(site, with_attempts("bid", 1))
        site.runners["runner-0"].scripted.next_ones.extend([_spoilt(kind, status)] * 10)
        method, path = call
        answer = await site.call(path, method=method, headers=site.headers(Deadline_Ms="1500"))
        assert answer.status in UNPROVEN

    play(story, way=way)


@pytest.mark.parametrize("kind", SPOILT)
def test_a_lookup_whose_answer_is_spoilt_is_served_by_another_runner(kind: str) -> None:
    """Guards against a failure where a request may run again."""

    async def story(site: GatewaySite) -> None:
        await site.wait_met()
        for number in range(4):
            site.runners["runner-0"].scripted.next_ones.append(_spoilt(kind, "200 OK"))
            answer = await site.call(f"/look/{number}", method="GET")
            assert answer.status == 200
            assert answer.body != b"spoilt"

    run_site(story, engines=0, runners=2, vms=1)


@pytest.mark.parametrize("kind", SPOILT)
def test_a_stream_whose_answer_is_spoilt_goes_on_elsewhere(kind: str) -> None:
    """Guards against events that no engine has signed, or that nobody can read."""

    async def story(site: GatewaySite) -> None:
        await site.wait_met()
        for engine in site.engines.values():
            engine.scripted.next_ones.append(_spoilt(kind, "200 OK"))
        stream = await site.stream("p-1", events=5)
        assert stream.whole
        assert stream.is_events("p-1", 1, 5)

    run_site(story, engines=2, runners=0, vms=1)


@attrs.define(kw_only=True, eq=False)
class EarlyTarget:
    """Answers each request once its head has come, with part of a body, and resets then."""

    body: bytes
    reset_after_s: float
    answered: int = 0

    async def run(self, listeners: list[trio.SocketListener]) -> None:
        """Serve until cancelled."""
        await trio.serve_listeners(self._serve, listeners)

    async def _serve(self, stream: trio.SocketStream) -> None:
        read = b""
        while b"\r\n\r\n" not in read:
            piece = await stream.receive_some(4096)
            if not piece:
                return
            read += piece
        lines = dict(line.split(": ", 1) for line in read.decode().split("\r\n") if ": " in line)
        names = {name.lower(): value for name, value in lines.items()}
        fields = [(name, text.format(id=names.get("request-id", ""))) for name, text in NAMED]
        self.answered += 1
        try:
            await stream.send_all(raw_head(fields) + self.body)
            await trio.sleep(self.reset_after_s)
        except trio.BrokenResourceError:
            pass
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_BY_CLOSE)
        await trio.aclose_forcefully(stream)


def _for_uploads(route: str, **more: bool) -> dict[str, Any]:
    """Return the configuration in which a route takes large bodies, and tries once."""
    document = with_attempts(route, 1, **more)
    document["Limits"]["MaxBodyBytes"] = len(UPLOAD)
    return document


@pytest.mark.parametrize("way", WAYS)
@pytest.mark.parametrize("after_s", RESETS_AFTER_S)
def test_part_of_an_answer_that_comes_under_an_upload_and_is_reset_is_no_answer(
    after_s: float, way: str
) -> None:
    """Guards against a part without a length that clients get as a whole answer."""

    async def story(site: GatewaySite) -> None:
        await configured(site, _for_uploads("bid"))
        target = EarlyTarget(body=b"part of a body", reset_after_s=after_s)
        await site.start_listed("early", service="apps", run=target.run)
        if way == "peer":
            await cut(site)
        answer = await site.call("/bid/1", body=UPLOAD)
        assert target.answered
        assert answer.status in UNPROVEN

    run_site(story, engines=0, runners=0, vms=2, cuttable=way == "peer")


@pytest.mark.parametrize("way", WAYS)
@pytest.mark.parametrize("after_s", RESETS_AFTER_S)
def test_part_of_a_stream_that_comes_under_an_upload_and_is_reset_is_not_whole(
    after_s: float, way: str
) -> None:
    """Guards against some events without a length that clients get as a whole stream."""

    async def story(site: GatewaySite) -> None:
        await configured(site, _for_uploads("stream", ResumeStreams=False))
        target = EarlyTarget(body=EVENT, reset_after_s=after_s)
        await site.start_listed("early", service="engines", run=target.run)
        if way == "peer":
            await cut(site)
        stream = await site.stream("p-1", events=10, question=UPLOAD)
        assert target.answered
        assert not stream.whole

    run_site(story, engines=0, runners=0, vms=2, cuttable=way == "peer")
