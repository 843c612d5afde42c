"""Cutting a stream into events, however the pieces fall."""

from __future__ import annotations

import itertools

from hypothesis import given
from hypothesis import strategies as st

from lagoonlever.http.sse import EventParser, ServerEvent, encode_event

EVENTS = st.builds(
    ServerEvent,
    data=st.binary(max_size=20).filter(lambda data: b"\n" not in data and b"\r" not in data),
    id=st.none() | st.just("r/1/2"),
    event=st.none() | st.just("restart"),
)


@given(events=st.lists(EVENTS, max_size=6), cuts=st.lists(st.integers(0, 300), max_size=8))
def test_events_are_the_same_however_the_stream_is_cut(
    events: list[ServerEvent], cuts: list[int]
) -> None:
    stream = b"".join(encode_event(event) for event in events)
    bounds = sorted({0, len(stream), *(cut for cut in cuts if cut < len(stream))})
    parser = EventParser()
    parsed = []
    for start, end in itertools.pairwise(bounds):
        parsed += parser.feed(stream[start:end])
    assert parsed == events


@given(events=st.lists(EVENTS, max_size=6))
def test_events_are_the_same_one_a_piece(events: list[ServerEvent]) -> None:
    parser = EventParser()
    assert [each for event in events for each in parser.feed(encode_event(event))] == events
