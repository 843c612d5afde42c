"""The targets as known to one VM at a moment: what they serve, their state and their load."""

from __future__ import annotations

import enum

import attrs

from lagoonlever.http.messages import Address


class TargetKind(enum.Enum):
    """The kind of process that answers at a target's address."""

    ENGINE = "engine"
    APPLICATION = "application"


class TargetState(enum.Enum):
    """Whether a target may be given new work; only ``LIVE`` may."""

    LIVE = "live"
    UNSURE = "unsure"
    """Listed as live, but in a list that is too old to be used."""
    LEAVING = "leaving"
    GONE = "gone"


@attrs.frozen(kw_only=True)
class ModelKey:
    """A model that a request can ask for: exactly one version, with or without an adapter."""

    name: str
    version: str
    adapter: str | None = None

    @property
    def model_field(self) -> str:
        """The ``model`` field of an engine's request: ``name`` or ``name:adapter``."""
        return self.name if self.adapter is None else f"{self.name}:{self.adapter}"


@attrs.frozen(kw_only=True)
class TargetLoad:
    """A load report: running and waiting requests, and slots, as the target counted them.

    ``received_at`` is in seconds of this VM's monotonic clock. The report was already older on
    arrival, by a delay that is not known.
    """

    running: int
    waiting: int
    slots: int
    cached_tokens: int = 0
    received_at: float = 0.0

    def age_s(self, now: float) -> float:
        """Return the seconds since the report arrived."""
        return max(0.0, now - self.received_at)


@attrs.frozen
class TargetIncarnation:
    """A target's name and address: at another address it is another process.

    A restart at the same address is not distinguished.
    """

    name: str
    address: Address


@attrs.frozen(kw_only=True)
class Target:
    """One target; ``impaired`` if others are preferred for a while after a failed connect.

    ``load`` is None if no load report is recent enough to be used.
    """

    name: str
    address: Address
    kind: TargetKind
    models: tuple[ModelKey, ...] = ()
    state: TargetState = TargetState.LIVE
    load: TargetLoad | None = None
    data_center: str = ""
    impaired: bool = False

    @property
    def incarnation(self) -> TargetIncarnation:
        """The incarnation of the target that this snapshot shows."""
        return TargetIncarnation(self.name, self.address)

    @property
    def takes_work(self) -> bool:
        """Whether new work may be given to it."""
        return self.state is TargetState.LIVE


@attrs.frozen(kw_only=True)
class TargetView:
    """An immutable snapshot of the targets that this VM knows of."""

    targets: tuple[Target, ...] = ()

    def find(self, name: str) -> Target | None:
        """Return the target of this name, in any state, or None."""
        return next((target for target in self.targets if target.name == name), None)

    def live(self, kind: TargetKind) -> tuple[Target, ...]:
        """Return the targets of this kind that may be given new work."""
        return tuple(target for target in self.targets if target.kind is kind and target.takes_work)

    def application(self) -> tuple[Target, ...]:
        """Return the live application services."""
        return self.live(TargetKind.APPLICATION)

    def models(self) -> tuple[ModelKey, ...]:
        """Return every model that at least one live engine serves, sorted by name and version."""
        engines = self.live(TargetKind.ENGINE)
        return tuple(
            sorted({model for engine in engines for model in engine.models}, key=_sort_key)
        )


def _sort_key(model: ModelKey) -> str:
    return f"{model.name}\0{model.version}\0{model.adapter or ''}"
