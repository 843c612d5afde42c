"""Typed HTTP messages shared by the server and the client side."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

MAX_DIGITS = 18
MOST_COUNT = 2**53 - 1
"""The largest number that every reader of JSON takes for itself; far above any count or time."""
MOST_PORT = 65_535
"""Of a whole number in a field: what fits into 64 bits."""


@attrs.frozen
class Headers:
    """Header fields in their order; names compare without case."""

    pairs: tuple[tuple[str, str], ...] = ()

    def get(self, name: str, default: str | None = None) -> str | None:
        """Give the first value of a field, or ``default``."""
        wanted = name.lower()
        for key, value in self.pairs:
            if key.lower() == wanted:
                return value
        return default

    def with_field(self, name: str, value: str) -> Headers:
        """Give these headers with one more field."""
        return Headers((*self.pairs, (name, value)))

    def without(self, name: str) -> Headers:
        """Give these headers less every value of a field."""
        unwanted = name.lower()
        return Headers(tuple(pair for pair in self.pairs if pair[0].lower() != unwanted))

    def raw(self) -> list[tuple[bytes, bytes]]:
        """Give the form that h11 takes."""
        return [(key.encode("ascii"), value.encode("latin-1")) for key, value in self.pairs]

    @classmethod
    def from_raw(cls, raw: Iterable[tuple[bytes, bytes]]) -> Headers:
        """Read the form that h11 gives."""
        return cls(tuple((key.decode("ascii"), value.decode("latin-1")) for key, value in raw))


def whole_number(text: str | None) -> int | None:
    """Return the number that a field holds as ASCII digits alone, or None if it holds none.

    A superscript digit is a digit to ``str.isdigit`` and no number to ``int``, which also raises
    for a number of thousands of digits.
    """
    if text is None or len(text) > MAX_DIGITS:
        return None
    return int(text) if text.isascii() and text.isdecimal() else None


@attrs.frozen(kw_only=True)
class Address:
    """An IP number and a TCP port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"[{self.host}]:{self.port}" if ":" in self.host else f"{self.host}:{self.port}"

    @classmethod
    def parse(cls, text: str) -> Address:
        """Read ``host:port``; raises ``ValueError``."""
        host, separator, port = text.rpartition(":")
        if not separator or not host:
            raise ValueError(f"{text!r} is not HOST:PORT")
        number = whole_number(port)
        if number is None or number > MOST_PORT:
            raise ValueError(f"{text!r} has no port that can be reached")
        return cls(host=host.strip("[]"), port=number)


@attrs.frozen(kw_only=True)
class Request:
    """A whole request as the server read it."""

    method: str
    path: str
    query: dict[str, str]
    headers: Headers
    body: bytes
    peer: str
    raw_query: str = ""
    """The query as it was sent: ``query`` keeps one value a name, and none that is empty."""
    target: str = ""
    """Path and query as they were sent, for a request that is passed on unchanged."""
