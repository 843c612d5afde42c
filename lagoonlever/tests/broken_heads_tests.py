"""Targets that stop within the heads of their answers, and what callers get then."""

from __future__ import annotations

import attrs
import pytest

from lagoonlever.fakes.raw_answers import raw_head
from lagoonlever.fakes.scripted_answers import ScriptedAnswer
from lagoonlever.platform.headers import REQUEST_ID, SEAL
from lagoonlever.tests.gateway_calls_tests import UNPROVEN
from lagoonlever.tests.gateway_site import GatewaySite, run_site
from lagoonlever.tests.handed_over_tests import cut
from lagoonlever.tests.late_copies_tests import configured, with_attempts
from lagoonlever.tests.refusals_tests import WAYS, play

NAMED = ((REQUEST_ID, "{id}"), (SEAL, "seal-{id}"))
HEADS = {
    "length": raw_head((*NAMED, ("Content-Length", "12"))),
    "chunks": raw_head((*NAMED, ("Transfer-Encoding", "chunked"))),
    "neither": raw_head((*NAMED, ("Content-Type", "text/event-stream"))),
}
BARE = {name: head.replace(b"\r\n", b"\n") for name, head in HEADS.items()}
BROKEN = ScriptedAnswer(status=None)
STEP = 7
"""Between two cuts: coprime to the length of no line, so that each is cut in several places."""


def _cuts(head: bytes) -> list[bytes]:
    """Return the beginnings of a head, and those that end with a whole line."""
    lines = [n + 1 for n, byte in enumerate(head[:-2]) if byte == ord("\n")]
    return [head[:end] for end in sorted({*range(0, len(head) - 2, STEP), *lines})]


@pytest.mark.parametrize("way", WAYS)
@pytest.mark.parametrize("framing", HEADS)
@pytest.mark.parametrize("heads", [HEADS, BARE], ids=["crlf", "bare"])
def test_a_call_whose_answer_breaks_off_within_its_head_has_no_answer(
    heads: dict[str, bytes], framing: str, way: str
) -> None:
    """Clients got a 200 with an empty or short body, framed as whole."""

    async def story(site: GatewaySite) -> None:
        for number, begun in enumerate(_cuts(heads[framing])):
            runner = site.runners["runner-0"]
            runner.scripted.next_ones.append(attrs.evolve(BROKEN, before=begun))
            answer = await site.call("/bid/1", body=b"bid", headers=site.headers(f"b-{number}"))
            assert answer.status in UNPROVEN, begun

    play(story, way=way)


@pytest.mark.parametrize("way", WAYS)
@pytest.mark.parametrize("framing", HEADS)
def test_a_stream_whose_answer_breaks_off_within_its_head_does_not_look_whole(
    framing: str, way: str
) -> None:
    """The head is broken off anywhere, or is whole and nothing follows it."""

    async def story(site: GatewaySite) -> None:
        if way == "peer":
            await cut(site)
        await configured(site, with_attempts("stream", 1, ResumeStreams=False))
        engine = site.engines["engine-0"]
        for number, begun in enumerate([*_cuts(HEADS[framing]), HEADS[framing]]):
            engine.scripted.next_ones.append(attrs.evolve(BROKEN, before=begun))
            stream = await site.stream(f"p-{number}", events=1)
            assert not stream.whole, begun

    run_site(story, engines=1, runners=0, vms=2 if way == "peer" else 1, cuttable=way == "peer")


def test_a_stream_goes_on_elsewhere_after_a_head_without_any_event() -> None:
    """An engine ends its connection right behind a head that tells neither length nor chunks."""

    async def story(site: GatewaySite) -> None:
        await site.wait_met()
        for engine in site.engines.values():
            engine.scripted.next_ones.append(attrs.evolve(BROKEN, before=HEADS["neither"]))
        stream = await site.stream("p-1", events=5)
        assert stream.whole
        assert stream.is_events("p-1", 1, 5)

    run_site(story, engines=2, runners=0, vms=1)
