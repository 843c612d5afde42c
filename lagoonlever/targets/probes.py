"""The probes of a target: which models it serves, its load, and its cache events."""

from __future__ import annotations

from typing import TypeVar

import attrs

from lagoonlever.decisions.targets.targets import ModelKey, TargetLoad
from lagoonlever.http.client import Pool
from lagoonlever.http.json_client import fetch_json
from lagoonlever.http.messages import Address

T = TypeVar("T")


@attrs.frozen(kw_only=True)
class _Model:
    id: str
    version: str
    adapters: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class _Models:
    data: tuple[_Model, ...]


@attrs.frozen(kw_only=True)
class _Load:
    running: int
    waiting: int
    slots: int
    cached_tokens: int = 0


@attrs.frozen(kw_only=True)
class CacheEvent:
    """One change of an engine's prefix cache; ``blocks`` are chained block hashes."""

    sequence: int
    kind: str
    blocks: tuple[int, ...] = ()


@attrs.frozen(kw_only=True)
class _CacheEvents:
    events: tuple[CacheEvent, ...]


async def fetch_models(address: Address, *, timeout_s: float, pool: Pool) -> tuple[ModelKey, ...]:
    """Ask an engine for its models; raises ``PeerError``."""
    models = await _fetch(address, "/v1/models", _Models, timeout_s=timeout_s, pool=pool)
    return tuple(
        ModelKey(name=model.id, version=model.version, adapter=adapter)
        for model in models.data
        for adapter in (None, *model.adapters)
    )


async def fetch_load(address: Address, *, timeout_s: float, pool: Pool, now: float) -> TargetLoad:
    """Ask a target for its load; ``now`` is the time of asking; raises ``PeerError``."""
    load = await _fetch(address, "/load", _Load, timeout_s=timeout_s, pool=pool)
    return TargetLoad(
        running=load.running,
        waiting=load.waiting,
        slots=load.slots,
        cached_tokens=load.cached_tokens,
        received_at=now,
    )


async def fetch_cache_events(
    address: Address, *, after: int, timeout_s: float, pool: Pool
) -> tuple[CacheEvent, ...]:
    """Ask an engine for its cache events after a sequence number; raises ``PeerError``."""
    path = f"/cache_events?after={after}"
    return (await _fetch(address, path, _CacheEvents, timeout_s=timeout_s, pool=pool)).events


async def _fetch(
    address: Address, path: str, answer: type[T], *, timeout_s: float, pool: Pool
) -> T:
    return await fetch_json(
        address, path=path, answer=answer, step=f"GET {path}", timeout_s=timeout_s, pool=pool
    )
