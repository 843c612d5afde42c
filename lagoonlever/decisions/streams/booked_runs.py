"""What VMs tell each other of a run at an engine: where it is, what it needs, where its copy is."""

from __future__ import annotations

import attrs

from lagoonlever.http.messages import Address


@attrs.frozen(kw_only=True)
class RunCopy:
    """A copy of a run's memory: the engine that holds it, and what it is called by."""

    holder: str
    address: Address
    """Of the engine that the name belongs to: the holder, or the engine that made the copy."""
    name: str
    holder_started_ms: int | None = None
    """The start of the holder's process that has the copy; None where it wasn't known."""

    def is_void(self, engine: str, started_ms: int | None) -> bool:
        """Tell whether the copy is gone, if its holder is an engine that started then."""
        known = self.holder_started_ms
        return engine == self.holder and None not in (known, started_ms) and known != started_ms


@attrs.frozen(kw_only=True)
class BookedRun:
    """One run at an engine; sizes in tokens."""

    request: str
    vm: str
    """The VM that relays it."""
    engine: str
    prompt_tokens: int
    """What the engine has to read: little for a run that goes on from a copy."""
    memory_tokens: int
    """What the run needs at its longest."""
    service: str = ""
    part: str | None = None
    """The id of the prompt's own part, by which a caller that returns is known."""
    copy: RunCopy | None = None
    """Of use once the run has given its first event."""
    flowing: bool = False
    """It has given its first event."""
    engine_started_ms: int | None = None
    """The start of the engine's process, as known when the run was sent."""

    @property
    def copy_at(self) -> str | None:
        """The engine that holds the copy."""
        return self.copy.holder if self.copy else None
