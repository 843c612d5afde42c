"""The parts of heads, as they are counted in bytes that come in any pieces."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lagoonlever.http.head_scan import HeadScan

LINES = (b"POST /?a=1&b=2 HTTP/1.1", b"Host: h", b"X: a&b", b"a:")
BODY = b"\n" * 50 + b"&" * 50


@given(
    end=st.sampled_from([b"\r\n", b"\n"]),
    rest=st.sampled_from([b"", BODY, b"\r\n\r\n" + BODY]),
    sizes=st.lists(st.integers(1, 12), min_size=1),
)
def test_the_parts_of_a_head_are_counted_and_none_of_what_follows(
    end: bytes, rest: bytes, sizes: list[int]
) -> None:
    """Guards against bodies of many lines that are paid for as heads, and refused."""
    sent = end.join((*LINES, b"", b"")) + rest
    scan, counted = HeadScan(), (0, 0)
    pieces = iter(sizes)
    while sent:
        size = next(pieces, 7)
        counted = scan.count(sent[:size])
        sent = sent[size:]
    assert counted == (len(LINES) + 1, 2)


@pytest.mark.parametrize("size", [1, 2, 3, 4, 1_000])
def test_a_head_without_an_end_is_counted_so_far(size: int) -> None:
    scan, counted, sent = HeadScan(), (0, 0), 100 * b"a:\r\n"
    for start in range(0, len(sent), size):
        counted = scan.count(sent[start : start + size])
    assert counted == (100, 0)
