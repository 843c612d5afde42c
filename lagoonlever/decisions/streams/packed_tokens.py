"""Token ids held in four bytes each, where a tuple takes eight, and forty with its numbers."""

from __future__ import annotations

from array import array
from collections.abc import Sequence

import attrs

TOKEN_BYTES = 4


@attrs.frozen(kw_only=True)
class PackedTokens:
    """Token ids of a prompt, which are seldom looked at again."""

    _packed: array[int] | tuple[int, ...]

    def __len__(self) -> int:
        return len(self._packed)

    @property
    def ids(self) -> tuple[int, ...]:
        """The ids, built anew at each access."""
        return tuple(self._packed)

    @classmethod
    def of(cls, ids: Sequence[int]) -> PackedTokens:
        """Pack ids; those that don't fit, as a faulty engine may report, are held as they are."""
        try:
            return cls(packed=array("I", ids))
        except OverflowError:
            return cls(packed=tuple(ids))
