"""Announcement of a run at an engine, as VMs exchange it: engine, size and KV-cache copy."""

from __future__ import annotations

import attrs

from lagoonlever.http.messages import Address

MAX_SHARED = 16
"""Parts that are told of a run: a popular part is at the beginning of its prompts."""


@attrs.frozen(kw_only=True)
class RunCopy:
    """A copy of a run's KV cache: the engine that holds it, and its name there."""

    holder: str
    """The id of the engine that holds the copy."""
    address: Address
    """Address of the engine that assigned the name: the holder, or the one that made the copy."""
    name: str
    """The id by which an engine finds the copy."""
    holder_started_ms: int | None = None
    """Start time of the holder's process that received the copy; None if it was unknown."""

    def is_lost(self, engine: str, started_ms: int | None) -> bool:
        """Check whether the copy is lost because its holder was restarted.

        ``started_ms`` is the start time of the process of ``engine``; None if it is unknown.
        """
        known = self.holder_started_ms
        return engine == self.holder and None not in (known, started_ms) and known != started_ms


@attrs.frozen(kw_only=True)
class EngineRun:
    """One run at an engine; sizes are in tokens."""

    request: str
    vm: str
    """The VM that relays the run to its caller."""
    engine: str
    prompt_tokens: int
    """Tokens that the engine has to prefill: few for a run that resumes from a copy."""
    memory_tokens: int
    """KV-cache size of the run at its longest."""
    service: str = ""
    part: str | None = None
    """The id of the prompt's own segment; other requests of the same session may have it too."""
    fingerprint: str | None = None
    """Digest of what the request asks, the same in each of its retries. Only they may resume from
    the run's copy."""
    copy: RunCopy | None = None
    """The run's KV-cache copy, which is usable once the run has produced its first event."""
    flowing: bool = False
    """Whether the run has produced its first event."""
    engine_started_ms: int | None = None
    """Start time of the engine's process, as known when the run was sent."""
    version: str | None = None
    """The version of the engine's software, as known when the run was sent."""
    model: str = ""
    """The model that the request names."""
    shared: tuple[str, ...] = ()
    """The ids of the prompt's parts that other requests may have as well, ``MAX_SHARED`` at
    most."""
    begun_by: str | None = None
    """The request that began the stream, if the run goes on with one that an earlier request
    of the caller began."""

    @property
    def stream(self) -> str:
        """The request that began the run's stream, or is about to."""
        return self.begun_by or self.request

    def copy_for(self, fingerprint: str, *, model: str) -> RunCopy | None:
        """Return the copy if a request that asks the same of the same model may resume from it.

        Return None for any other request: the engine would go on with its answer to this one.
        """
        return self.copy if (self.fingerprint, self.model) == (fingerprint, model) else None

    @property
    def copy_holder(self) -> str | None:
        """The id of the engine that holds the copy, or None."""
        return self.copy.holder if self.copy else None
