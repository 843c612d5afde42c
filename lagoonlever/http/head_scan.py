"""Counts the parts of a request's head in its bytes, before they are parsed."""

from __future__ import annotations

import re

import attrs

HEAD_END = re.compile(rb"\n\r?\n")
LONGEST_END = 3


@attrs.define(kw_only=True)
class HeadScan:
    """Counts over the pieces in which a head arrives; what follows the head is not counted."""

    _lines: int = 0
    _items: int = 0
    _tail: bytes = b""
    """The last bytes, in which the end of the head may have begun."""
    _is_over: bool = False

    def count(self, data: bytes) -> tuple[int, int]:
        """Return the lines of the head so far, and the items that its query has at most."""
        if self._is_over:
            return self._lines, self._items
        joined = self._tail + data
        end = HEAD_END.search(joined)
        self._is_over = end is not None
        new = data[: max(0, end.end() - len(self._tail))] if end is not None else data
        self._lines += new.count(b"\n")
        self._items += new.count(b"&")
        self._tail = joined[-LONGEST_END + 1 :]
        return self._lines, self._items
