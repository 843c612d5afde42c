"""Tests of which tokens are released, for any chunks of an engine and wherever it crashes."""

from __future__ import annotations

import codecs

from hypothesis import assume, given
from hypothesis import strategies as st

from lagoonlever.decisions.targets.release import Piece, ReleaseBuffer

ALPHABET = "ab €č"
TEXTS = st.text(ALPHABET, max_size=30)
STOPS = st.lists(st.text(ALPHABET, min_size=1, max_size=4), max_size=3).map(tuple)
Sent = list[tuple[tuple[int, ...], str]]


@st.composite
def streams(draw: st.DrawFn) -> tuple[str, Sent]:
    """Return a text and the chunks that an engine sends of it, with one token for each byte.

    A chunk has one or more tokens; its text consists of the characters that its bytes complete.
    """
    text = draw(TEXTS)
    data = text.encode()
    decoder = codecs.getincrementaldecoder("utf-8")()
    sent: Sent = []
    while data:
        length = draw(st.integers(1, min(4, len(data))))
        piece, data = data[:length], data[length:]
        sent.append((tuple(piece), decoder.decode(piece)))
    return text, sent


def push_all(buffer: ReleaseBuffer, sent: Sent) -> list[Piece]:
    pieces: list[Piece] = []
    for token_ids, text in sent:
        pieces += buffer.push(token_ids=token_ids, text=text)
    return pieces


def text_of(pieces: list[Piece]) -> str:
    return "".join(piece.text for piece in pieces)


def tokens_of(pieces: list[Piece]) -> tuple[int, ...]:
    return tuple(token for piece in pieces for token in piece.token_ids)


@given(stream=streams(), stop=STOPS)
def test_the_whole_text_is_released_up_to_the_stop_string(stream, stop) -> None:
    text, sent = stream
    # If one stop string contains another, the engine's chunks decide which is found first.
    assume(not any(a != b and a in b for a in stop for b in stop))
    buffer = ReleaseBuffer(stop=stop)
    pieces = push_all(buffer, sent)
    pieces += buffer.flush()
    assert buffer.stopped == any(each in text for each in stop)
    expected = min((text.find(each) for each in stop if each in text), default=len(text))
    assert text_of(pieces) == text[:expected]
    if not buffer.stopped:
        assert tokens_of(pieces) == tuple(text.encode())


def decoded(data: bytes, *, after: bytes = b"") -> Sent:
    """Return the chunks, of one byte and token each, of an engine that resumes after ``after``."""
    decoder = codecs.getincrementaldecoder("utf-8")()
    decoder.decode(after)
    return [((byte,), decoder.decode(bytes((byte,)))) for byte in data]


@given(stream=streams(), stop=STOPS, data=st.data())
def test_a_resume_from_the_released_tokens_gives_the_same_text(stream, stop, data) -> None:
    """Guards against a resumed text that differs from that of one engine without a crash.

    The first engine crashes after any chunk, within a character or within a stop string, and the
    next engine resumes from exactly the released tokens.
    """
    text, sent = stream
    crashed_after = data.draw(st.integers(0, len(sent)))
    first = ReleaseBuffer(stop=stop)
    released = push_all(first, sent[:crashed_after])
    prefix = bytes(tokens_of(released))
    assert text.encode().startswith(prefix)
    if first.stopped:
        return
    assert text_of(released) == prefix.decode(errors="ignore")
    if all(len(token_ids) == 1 for token_ids, _ in sent):
        assert text_of(released) == prefix.decode()
    second = ReleaseBuffer(stop=stop)
    resumed = push_all(second, decoded(text.encode()[len(prefix) :], after=prefix))
    resumed += second.flush()
    whole = ReleaseBuffer(stop=stop)
    uninterrupted = push_all(whole, decoded(text.encode()))
    uninterrupted += whole.flush()
    assert text_of(released) + text_of(resumed) == text_of(uninterrupted)


@given(stream=streams(), stop=STOPS)
def test_nothing_is_held_longer_than_a_stop_string_needs(stream, stop) -> None:
    _, sent = stream
    buffer = ReleaseBuffer(stop=stop)
    released: list[Piece] = []
    pushed = 0
    longest = max(map(len, stop), default=1) - 1
    for token_ids, text in sent:
        released += buffer.push(token_ids=token_ids, text=text)
        pushed += len(token_ids)
        if not buffer.stopped:
            assert pushed == len(tokens_of(released)) + buffer.held_tokens
            # A held character has up to 3 bytes here, a chunk up to 4, an incomplete one up to 3.
            assert buffer.held_tokens <= longest * 3 + 4 + 3
