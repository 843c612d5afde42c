"""Refusals in pieces, in other forms and behind other answers, and what callers see of them."""

from __future__ import annotations

import pytest
import trio

from lagoonlever.fakes.raw_answers import raw_answer, raw_head
from lagoonlever.fakes.scripted_answers import ScriptedAnswer
from lagoonlever.http.exchange import Exchange
from lagoonlever.platform.headers import REFUSED, REQUEST_ID, SEAL
from lagoonlever.tests.gateway_calls_tests import runs
from lagoonlever.tests.gateway_site import HOST, KEY, GatewaySite
from lagoonlever.tests.late_copies_tests import NOT_RUN, refuse_one
from lagoonlever.tests.refusals_tests import WAYS, bid, play, script

BUSY = "503 Busy"
SAYS_UNRUN = (REFUSED, "1")
OWN = (REQUEST_ID, "{id}")
COPY = raw_answer((OWN, SAYS_UNRUN), status=BUSY)
REFUSE = ScriptedAnswer(runs=False, status=503, fields=(SAYS_UNRUN,))
PIECE_S = 0.002


def raw_bid(request_id: str, *more: str) -> bytes:
    """Return the bytes of a bid as a caller writes it."""
    fields = (f"Host: {HOST}", f"Request-Id: {request_id}", "Deadline-Ms: 3000", *more)
    head = ("POST /bid/1 HTTP/1.1", *fields, f"Authorization: Bearer {KEY}", "Content-Length: 3")
    return "\r\n".join((*head, "", "bid")).encode()


async def read_statuses(site: GatewaySite, data: bytes, count: int) -> list[int]:
    """Write bytes on one connection to a VM, and return the statuses that come."""
    address = site.vms["vm-0"].settings.listen
    received = b""
    async with await trio.open_tcp_stream(address.host, address.port) as stream:
        await stream.send_all(data)
        with trio.move_on_after(8):
            while received.count(b"HTTP/1.1 ") < count:
                piece = await stream.receive_some(65536)
                if not piece:
                    break
                received += piece
    return [int(part[:3]) for part in received.split(b"HTTP/1.1 ")[1:]]


@pytest.mark.parametrize("way", WAYS)
def test_pipelined_bids_get_their_own_answers_behind_a_refusal_with_a_late_copy(way: str) -> None:
    """A caller writes bids one behind the other; the first is refused, the others run."""

    async def story(site: GatewaySite) -> None:
        runner = site.runners["runner-0"]
        late = ScriptedAnswer(runs=False, status=503, fields=(SAYS_UNRUN,), late=COPY)
        runner.scripted.next_ones.append(late)
        data = raw_bid("one") + raw_bid("two") + raw_bid("three")
        statuses = await read_statuses(site, data, 3)
        assert runs(site)["one"] == 0
        assert statuses[0] == 503
        assert [runs(site)["two"], runs(site)["three"]] == [1, 1]
        assert statuses[1:] == [200, 200]

    play(story, way=way)


@pytest.mark.parametrize("way", WAYS)
@pytest.mark.parametrize(
    "copy",
    [
        raw_answer((OWN, SAYS_UNRUN), status=BUSY).replace(b"HTTP/1.1", b"HTTP/1.0"),
        raw_answer((OWN, SAYS_UNRUN, ("Connection", "close")), status=BUSY),
        b"HTTP/1.1 103 Early\r\nNot-Executed: 1\r\n\r\n" + COPY,
        COPY + COPY,
        COPY + COPY + COPY,
        raw_head((OWN, SAYS_UNRUN, ("Transfer-Encoding", "chunked")), status=BUSY)
        + b"3\r\nabc\r\n0\r\nRequest-Id: x\r\n\r\n",
        raw_head((OWN, SAYS_UNRUN), status=BUSY),
        raw_answer((OWN, SAYS_UNRUN), status=BUSY, body=COPY),
        raw_answer((OWN, (REQUEST_ID, "second"), SAYS_UNRUN), status=BUSY),
        raw_answer((SAYS_UNRUN,), status="421 Other"),
    ],
    ids=["1.0", "close", "interim", "two", "three", "chunks", "unended", "nested", "ids", "421"],
)
def test_a_copy_in_any_form_does_not_call_a_bid_unrun_that_runs(copy: bytes, way: str) -> None:
    """The copy of the refusal of the bid before comes in front of the bid's own answer."""

    async def story(site: GatewaySite) -> None:
        late = ScriptedAnswer(runs=False, status=503, fields=(SAYS_UNRUN,), late=copy)
        script(site, late)
        assert await bid(site, "first") == 503
        status = await bid(site, "second")
        assert runs(site)["second"] == 1
        assert status not in NOT_RUN
        third = await bid(site, "third")
        assert runs(site)["third"] == 1
        assert third == 200

    play(story, way=way)


@pytest.mark.parametrize("way", WAYS)
def test_a_copy_in_pieces_does_not_call_a_bid_unrun_that_runs(way: str) -> None:
    """The bytes of the copy and of the bid's own answer come one by one."""

    async def story(site: GatewaySite) -> None:
        runner = site.runners["runner-0"]
        handle = runner.handle

        async def in_pieces(exchange: Exchange) -> None:
            write = exchange._connection.write_raw

            async def write_slowly(data: bytes) -> None:
                for at in range(0, len(data), 7):
                    await write(data[at : at + 7])
                    await trio.sleep(PIECE_S)

            exchange._connection.write_raw = write_slowly  # type: ignore[method-assign]
            await handle(exchange)

        runner.handle = in_pieces  # type: ignore[method-assign]
        await refuse_one(site)
        status = await bid(site, "second")
        assert runs(site)["second"] == 1
        assert status not in NOT_RUN

    play(story, way=way)


def test_a_bid_is_not_called_unrun_by_the_copy_of_the_refusal_of_a_lookup() -> None:
    """Lookups and bids share the kept connections to a runner."""

    async def story(site: GatewaySite) -> None:
        late = ScriptedAnswer(runs=False, status=503, fields=(SAYS_UNRUN,), late=COPY)
        script(site, late)
        await site.call("/look/1", headers=site.headers("look"))
        status = await bid(site, "second")
        assert runs(site)["second"] == 1
        assert status not in NOT_RUN

    play(story)


@pytest.mark.parametrize("route", ["bid", "look"])
@pytest.mark.parametrize("status", [200, 500])
def test_an_answer_that_is_no_refusal_reaches_callers_without_the_word_of_one(
    status: int, route: str
) -> None:
    """A bid ran, and its caller reads ``Not-Executed`` beside the status and sends it again."""

    async def story(site: GatewaySite) -> None:
        fields = (SAYS_UNRUN, (SEAL, "seal"))
        script(site, ScriptedAnswer(status=status, fields=fields, body=b"answer"))
        answer = await site.call(f"/{route}/1", body=b"bid", headers=site.headers("first"))
        assert runs(site)["first"] == 1
        assert answer.headers.get(REFUSED) is None

    play(story)
