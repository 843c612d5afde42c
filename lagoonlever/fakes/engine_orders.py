"""What a stand-in engine has loaded, and the orders that change it."""

from __future__ import annotations

import attrs

from lagoonlever.exceptions import RequestRefused
from lagoonlever.fakes import wire
from lagoonlever.fakes.batch import ServedModel


class EngineOrders:
    """The order in force; what it wants is there after the time that loading takes."""

    def __init__(
        self, *, models: tuple[ServedModel, ...], checks_fencing: bool, model_load_s: float
    ) -> None:
        self._models = models
        self._checks_fencing = checks_fencing
        self._model_load_s = model_load_s
        self._order = wire.Order(fencing=0, wanted=_wanted(models))
        self._given_at = 0.0

    def models(self, *, now: float) -> tuple[ServedModel, ...]:
        """Give the models that are loaded."""
        self._load(now)
        return self._models

    def report(self, *, now: float) -> wire.OrderReport:
        """Give the order in force and what the engine has by now."""
        loaded = _wanted(self.models(now=now)).models
        return wire.OrderReport(
            fencing=self._order.fencing,
            wanted=self._order.wanted,
            actual=attrs.evolve(self._order.wanted, models=loaded),
        )

    def take(self, order: wire.Order, *, now: float) -> None:
        """Put an order in force; raises ``RequestRefused`` for an old number, if it is checked."""
        if self._checks_fencing and order.fencing < self._order.fencing:
            raise RequestRefused(
                status=409, field="fencing", message=f"is older than {self._order.fencing}"
            )
        self._load(now)
        self._order = order
        self._given_at = now

    def _load(self, now: float) -> None:
        if now >= self._given_at + self._model_load_s:
            self._models = _served(self._order.wanted)


def _wanted(models: tuple[ServedModel, ...]) -> wire.WantedState:
    ordered = [wire.OrderedModel(name=model.name, version=model.version) for model in models]
    ordered += [
        wire.OrderedModel(name=model.name, version=model.version, adapter=adapter)
        for model in models
        for adapter in model.adapters
    ]
    return wire.WantedState(models=ordered)


def _served(wanted: wire.WantedState) -> tuple[ServedModel, ...]:
    adapters: dict[tuple[str, str], list[str]] = {}
    for model in wanted.models:
        own = adapters.setdefault((model.name, model.version), [])
        if model.adapter is not None:
            own.append(model.adapter)
    return tuple(
        ServedModel(name=name, version=version, adapters=tuple(own))
        for (name, version), own in adapters.items()
    )
