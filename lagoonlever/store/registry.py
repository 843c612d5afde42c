"""Adapters to the platform, by the name that settings give them."""

from __future__ import annotations

import importlib
from collections.abc import Callable, Sequence
from typing import Protocol, TypeVar

from lagoonlever.exceptions import ConfigurationError
from lagoonlever.http.messages import Address
from lagoonlever.instruments import Metrics
from lagoonlever.store.port import Platform


class PlatformFactory(Protocol):
    """What makes an adapter: its class, usually."""

    def __call__(self, *, addresses: Sequence[Address], metrics: Metrics | None = None) -> Platform:
        """Make an adapter to the platform's servers at these addresses."""


F = TypeVar("F", bound=PlatformFactory)
_ADAPTERS: dict[str, PlatformFactory] = {}


def adapter(name: str) -> Callable[[F], F]:
    """Register the decorated adapter under a name."""

    def register(factory: F) -> F:
        if name in _ADAPTERS:
            raise ValueError(f"adapter {name!r} is taken")
        _ADAPTERS[name] = factory
        return factory

    return register


def adapter_names() -> tuple[str, ...]:
    """Give the names that settings may use."""
    _load()
    return tuple(sorted(_ADAPTERS))


def open_platform(
    name: str, *, addresses: Sequence[Address], metrics: Metrics | None = None
) -> Platform:
    """Make the adapter of a name; raises ``ConfigurationError`` for an unknown one."""
    _load()
    factory = _ADAPTERS.get(name)
    if factory is None:
        known = ", ".join(adapter_names())
        raise ConfigurationError(f"platform.adapter: is {name!r}; give one of: {known}")
    return factory(addresses=addresses, metrics=metrics)


def _load() -> None:
    """Fill the registry at its first use: a process that names no adapter loads none."""
    importlib.import_module("lagoonlever.store.adapters")
