"""Plain parts in place of an entry VM's neighbours: fixed targets, open admission, no peers."""

from __future__ import annotations

import itertools

import attrs

from lagoonlever.decisions.admission.admission import AdmissionRequest
from lagoonlever.decisions.targets.targets import Target, TargetView
from lagoonlever.entry.generations.admission import Admitted
from lagoonlever.outcomes import NotRun
from lagoonlever.published import Published


@attrs.define(kw_only=True)
class FixedTargets:
    """Targets that never change; all may always be given work."""

    _targets: tuple[Target, ...]
    _view: Published[TargetView] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._view = Published(TargetView(targets=self._targets))

    @property
    def view(self) -> Published[TargetView]:
        """The view of these targets."""
        return self._view

    def check_before_dispatch(self, target: Target) -> bool:
        """Allow everything."""
        return True

    def connected(self, target: Target) -> None:
        """Take no note."""

    def connect_failed(self, target: Target) -> None:
        """Take no note."""


@attrs.define(kw_only=True)
class OpenAdmission:
    """Admits everything at once."""

    _tickets: itertools.count[int] = attrs.field(factory=itertools.count)

    async def admit(self, ask: AdmissionRequest) -> Admitted | NotRun:
        """Grant a slot."""
        return Admitted(ticket=next(self._tickets), pool=ask.pool, priority=0, waited_s=0.0)

    def charge(self, grant: Admitted, work: float) -> None:
        """Take no note."""

    def release(self, grant: Admitted) -> None:
        """Take no note."""


class NoPeers:
    """A VM without others."""

    def taken_over(self, vm: str, *, organisation: str, request_id: str, attempt: int) -> None:
        """Tell nobody."""
