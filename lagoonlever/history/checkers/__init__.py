"""One pure checker a promise; each reads only the history."""

from __future__ import annotations

import importlib
import pkgutil
from collections.abc import Callable, Sequence

import attrs

from lagoonlever.history.events import HistoryEvent


@attrs.frozen(kw_only=True)
class Violation:
    """A promise broken: by which checker, for which subject (a request, a key, a VM), and how."""

    checker: str
    subject: str
    at: float
    message: str

    def __str__(self) -> str:
        return f"{self.checker}: {self.subject}: {self.message}"


Check = Callable[[Sequence[HistoryEvent]], list[Violation]]
CHECKERS: dict[str, Check] = {}


def checker(name: str) -> Callable[[Check], Check]:
    """Register the decorated check under the name of its promise."""

    def register(check: Check) -> Check:
        CHECKERS[name] = check
        return check

    return register


def load_checkers() -> None:
    """Import every checker of this package."""
    for module in pkgutil.iter_modules(__path__):
        importlib.import_module(f"{__name__}.{module.name}")


def check_history(events: Sequence[HistoryEvent]) -> list[Violation]:
    """Run every checker over a history."""
    load_checkers()
    return [violation for check in CHECKERS.values() for violation in check(events)]
