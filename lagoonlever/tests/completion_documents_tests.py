"""What the documents of completion requests may hold, and what reading them costs."""

from __future__ import annotations

import attrs
import pytest

from lagoonlever.entry.callers.completion_documents import (
    LIST_COST,
    OPTION_BYTES,
    CompletionDocument,
    NoMemoryLeft,
    read_document,
)
from lagoonlever.exceptions import RequestRefused

KB = 1024


@attrs.define(kw_only=True)
class CountedMemory:
    """Memory of a connection that is as large as a test says."""

    largest_bytes: int = KB * KB
    left: int = KB * KB
    most_paid: int = 0
    paid: int = 0

    def pay(self, size: int) -> bool:
        if self.paid + size > self.left:
            return False
        self.paid += size
        self.most_paid = max(self.most_paid, self.paid)
        return True

    def pay_back(self, size: int) -> None:
        self.paid -= size


def read(raw: bytes) -> CompletionDocument:
    return read_document(raw, memory=CountedMemory())


def refusal_of(raw: bytes, memory: CountedMemory | None = None) -> RequestRefused:
    with pytest.raises(RequestRefused) as caught:
        read_document(raw, memory=memory or CountedMemory())
    return caught.value


def test_a_document_is_read_by_its_parts() -> None:
    raw = b"""{"prompt": [1, 70000], "model": "m", "top_p": 0.5,
        "lagoonlever_held": {"model_version": "v", "prompt_token_ids": [1], "token_ids": []}}"""
    document = read(raw)
    assert document.options == {"model": "m", "top_p": 0.5}
    assert document.prompt == (1, 70000)
    assert document.held is not None
    assert document.held.prompt_token_ids == (1,)
    assert read(b'{"prompt": "text", "lagoonlever_held": null}').held is None
    assert read(b'{"model": "m"}').prompt is None


@pytest.mark.parametrize(
    ("raw", "field"),
    [
        (b"", "body"),
        (b"[]", "body"),
        (b'{"prompt": "a"', "body"),
        (b'{"prompt": [1, "a"]}', "prompt"),
        (b'{"prompt": [true]}', "prompt"),
        (b'{"prompt": "\\ud800"}', "body"),
        (b'{"prompt": "\xff"}', "prompt"),
        (b'{"prompt": null}', "prompt"),
        (b'{"user": "\xff"}', "user"),
        (b'{"lagoonlever_held": {"token_ids": []}}', "lagoonlever_held"),
        (b'{"lagoonlever_held": []}', "lagoonlever_held"),
        (b'{"x": ' + b"[" * 8 * KB + b"]" * 8 * KB + b"}", "body"),
    ],
)
def test_a_wrong_document_is_refused_by_the_name_of_its_field(raw: bytes, field: str) -> None:
    """Guards against a fault within the VM for a document that a client got wrong."""
    refused = refusal_of(raw)
    assert (refused.status, refused.field) == (400, field)


@pytest.mark.parametrize(
    "raw",
    [
        b'{"prompt": "a", "x": [%s]}' % b",".join([b"[]"] * OPTION_BYTES),
        b'{"prompt": "a", %s}' % b",".join(b'"%d": 1' % n for n in range(OPTION_BYTES)),
        b"{%s}" % b",".join([b'"prompt": "abcdefgh"'] * OPTION_BYTES),
    ],
    ids=["one", "many", "repeated"],
)
def test_options_beyond_their_bound_are_refused_unread(raw: bytes) -> None:
    """Guards against a document of small pieces that takes many times its size."""
    memory = CountedMemory()
    assert refusal_of(raw, memory).status == 413
    assert memory.most_paid == 0


def test_what_reading_takes_is_paid_for_and_paid_back() -> None:
    """Guards against lists of numbers that fill the memory as they are read."""
    numbers = b"[%s]" % b",".join([b"999"] * KB)
    memory = CountedMemory()
    read_document(b'{"prompt": %s}' % numbers, memory=memory)
    assert memory.most_paid >= len(numbers) * LIST_COST
    assert memory.paid == 0
    assert refusal_of(b'{"prompt": [%s"a"]}' % (b"1," * KB), memory).status == 400
    assert memory.paid == 0


def test_without_memory_a_document_is_not_read() -> None:
    """Guards against a document that is read though others hold what it takes."""
    raw = b'{"prompt": "%s"}' % (b"a" * KB)
    with pytest.raises(NoMemoryLeft):
        read_document(raw, memory=CountedMemory(left=KB))
    assert refusal_of(raw, CountedMemory(largest_bytes=2 * KB)).status == 413
