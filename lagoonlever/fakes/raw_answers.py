"""Heads of answers that a library for HTTP would not write."""

from __future__ import annotations

from collections.abc import Iterable


def raw_head(fields: Iterable[tuple[str, str]], *, status: str = "200 OK") -> bytes:
    """Return the head of an answer that tells neither a length nor chunks."""
    lines = [f"HTTP/1.1 {status}", *(f"{name}: {value}" for name, value in fields), "", ""]
    return "\r\n".join(lines).encode()


def raw_answer(fields: Iterable[tuple[str, str]], *, status: str, body: bytes = b"") -> bytes:
    """Return a whole answer, as a server sends it a second time."""
    return raw_head((*fields, ("Content-Length", str(len(body)))), status=status) + body
