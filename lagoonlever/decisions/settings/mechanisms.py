"""The mechanisms that can be switched off one by one, to measure what each is worth.

Each stands here with the plain way that takes its place. A gateway's own settings name
those that are off; none is off by default, and a switched-off one breaks no promise: it
costs time, or an engine's work.
"""

from __future__ import annotations

import functools
import inspect
from collections.abc import Callable, Iterable
from typing import Any, TypeVar

import attrs

F = TypeVar("F", bound=Callable[..., Any])


@attrs.frozen(kw_only=True)
class Mechanism:
    """One mechanism by name: what it does, and what is done without it."""

    name: str
    does: str
    without: str


@attrs.define(kw_only=True)
class Mechanisms:
    """The registry of all mechanisms, and which of them are off in this process."""

    _known: dict[str, Mechanism] = attrs.field(factory=dict)
    _off: frozenset[str] = frozenset()

    @property
    def known(self) -> tuple[Mechanism, ...]:
        """Every mechanism of the modules that are loaded, by name."""
        return tuple(self._known[name] for name in sorted(self._known))

    def is_on(self, name: str) -> bool:
        """Tell whether a mechanism is in use."""
        return name not in self._off

    def switch_off(self, names: Iterable[str]) -> None:
        """Use all mechanisms but these."""
        self._off = frozenset(names)

    def register(
        self, name: str, *, does: str, without: str, plain: Callable[..., Any]
    ) -> Callable[[F], F]:
        """Register the decorated function; ``plain`` is called in its place while it is off."""
        self._known[name] = Mechanism(name=name, does=does, without=without)

        def decorate(function: F) -> F:
            if inspect.iscoroutinefunction(function):

                @functools.wraps(function)
                async def run(*args: Any, **kwargs: Any) -> Any:
                    if self.is_on(name):
                        return await function(*args, **kwargs)
                    return plain(*args, **kwargs)

                return run  # type: ignore[return-value]

            @functools.wraps(function)
            def call(*args: Any, **kwargs: Any) -> Any:
                chosen = function if self.is_on(name) else plain
                return chosen(*args, **kwargs)

            return call  # type: ignore[return-value]

        return decorate


MECHANISMS = Mechanisms()
"""Of this process."""


def gives(value: Any) -> Callable[..., Any]:
    """Give a plain way that always has the same outcome."""
    return lambda *_args, **_kwargs: value
