"""Heads of answers that a library for HTTP would not write."""

from __future__ import annotations

from collections.abc import Iterable


def raw_head(fields: Iterable[tuple[str, str]]) -> bytes:
    """Return the head of an answer that tells neither a length nor chunks."""
    lines = ["HTTP/1.1 200 OK", *(f"{name}: {value}" for name, value in fields), "", ""]
    return "\r\n".join(lines).encode()
