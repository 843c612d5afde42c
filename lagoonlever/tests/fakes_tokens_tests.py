"""The token rule: an answer continued from its released tokens equals the uninterrupted one."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from lagoonlever.fakes.tokens import (
    MULTI_BYTE,
    TextDecoder,
    encode_prompt,
    expected_output,
    token_bytes,
)

LENGTH = 120
PROMPT = encode_prompt("čierne auto, the paint is fair")


def answer(prompt, length, **changes):
    return expected_output(model_version="v1", prompt=prompt, max_tokens=length, **changes)


@given(st.text(max_size=40))
def test_a_prompt_keeps_its_bytes(text):
    assert b"".join(token_bytes(token) for token in encode_prompt(text)) == text.encode()


def test_a_resume_at_every_offset_equals_the_uninterrupted_answer():
    """An engine dies after any token, also within a character of several bytes.

    The caller sees one text: what the first engine's decoder gave, then what the
    second one gives, which was handed the prompt and the released tokens.
    """
    whole = answer(PROMPT, LENGTH)
    assert any(character.decode() in whole.text for character in MULTI_BYTE)
    for offset in range(1, LENGTH):
        released = list(whole.token_ids[:offset])
        decoder = TextDecoder(prompt=PROMPT)
        text = "".join(decoder.feed(token) for token in released)
        rest = answer(PROMPT + released, LENGTH - offset)
        assert released + list(rest.token_ids) == list(whole.token_ids)
        assert text + rest.text == whole.text


@given(st.integers(1, LENGTH - 8))
def test_any_other_continuation_shows(offset):
    """A splice from another version, adapter, seed or prefix gives other tokens."""
    whole = answer(PROMPT, LENGTH).token_ids
    released = list(whole[:offset])
    rest = LENGTH - offset
    spliced = [
        expected_output(model_version="v2", prompt=PROMPT + released, max_tokens=rest),
        answer(PROMPT + released, rest, adapter="a"),
        answer(PROMPT + released, rest, seed=1),
        answer(PROMPT + released[:-1], rest),
        answer(PROMPT, rest),
    ]
    assert all(each.token_ids != whole[offset:] for each in spliced)


@given(st.integers(0, LENGTH - 6), st.integers(2, 20))
def test_a_stop_string_ends_the_text_before_it(start, length):
    text = answer(PROMPT, LENGTH).text
    stop = text[start : start + length]
    stopped = answer(PROMPT, LENGTH, stop=(stop,))
    assert stopped.finish_reason == "stop"
    assert stopped.text == text[: text.index(stop)]
