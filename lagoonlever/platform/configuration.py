"""Reads the operator's configuration, ``op/config`` in the store."""

from __future__ import annotations

from typing import Any

import msgspec

from lagoonlever.decisions.settings.configuration import (
    ClientLimits,
    Configuration,
    EngineLimits,
    Organisation,
    RouteKind,
    ServiceRoute,
    TargetService,
    WeightedService,
)
from lagoonlever.exceptions import LagoonleverException
from lagoonlever.http.messages import MOST_COUNT

CONFIGURATION_KEY = "op/config"
MS = 1000.0

_KINDS = {
    "idempotent": RouteKind.IDEMPOTENT,
    "non_idempotent": RouteKind.NON_IDEMPOTENT,
    "streaming": RouteKind.STREAM,
}


_UNREADABLE = (
    msgspec.DecodeError,
    KeyError,
    TypeError,
    ValueError,
    AttributeError,
    OverflowError,
    RecursionError,
)


class UnreadableConfiguration(LagoonleverException):
    """The stored configuration is not of the platform's format; the one in force stays."""


def read_configuration(value: bytes) -> Configuration:
    """Decode a stored configuration; raises ``UnreadableConfiguration``."""
    try:
        document = msgspec.json.decode(value)
        _check_numbers(document)
        return _configuration(document)
    except _UNREADABLE as error:
        raise UnreadableConfiguration(f"{CONFIGURATION_KEY}: {error!r}") from error


def _check_numbers(value: Any) -> None:
    """Raise ``ValueError`` for a number that no message between VMs could carry."""
    if isinstance(value, dict):
        for inner in value.values():
            _check_numbers(inner)
    elif isinstance(value, list):
        for inner in value:
            _check_numbers(inner)
    elif isinstance(value, int | float) and not -MOST_COUNT <= value <= MOST_COUNT:
        raise ValueError(f"{value!r:.30} is out of range")


def _configuration(document: dict[str, Any]) -> Configuration:
    tenants = document.get("Tenants")
    return Configuration(
        version=int(document["Version"]),
        routes=tuple(_route(raw) for raw in document.get("Routes") or ()),
        services={raw["Name"]: _service(raw) for raw in document.get("Services") or ()},
        organisations=_organisations(tenants or ()),
        requires_key=tenants is not None,
        limits=_limits(document.get("Limits") or {}),
    )


def _route(raw: dict[str, Any]) -> ServiceRoute:
    pause_ms = raw.get("GapAimMs")
    return ServiceRoute(
        name=raw["Name"],
        host=raw["Host"].lower(),
        prefix=raw["Prefix"],
        kind=_KINDS[raw["RouteType"]],
        services=_weighted_services(raw),
        timeout_s=raw["TimeoutMs"] / MS,
        objective_s=raw.get("TargetLatencyMs", raw["TimeoutMs"]) / MS,
        pause_objective_s=None if pause_ms is None else pause_ms / MS,
        priority=int(raw.get("Priority", 0)),
        max_attempts=max(1, int(raw.get("MaxAttempts", 1))),
        anonymous=bool(raw.get("AllowAnonymous", False)),
        resumable=bool(raw.get("ResumeStreams", False)),
    )


def _weighted_services(raw: dict[str, Any]) -> tuple[WeightedService, ...]:
    split = raw.get("TrafficSplit")
    if not split:
        return (WeightedService(name=raw["Service"]),)
    parts = tuple(
        WeightedService(name=part["Service"], weight=float(part["Weight"])) for part in split
    )
    return tuple(part for part in parts if part.weight > 0) or parts


def _service(raw: dict[str, Any]) -> TargetService:
    engine = raw.get("Engine")
    return TargetService(
        name=raw["Name"],
        health_path=raw.get("HealthPath") or "/",
        max_connections=int(raw.get("MaxConnections") or 0),
        engine=None if engine is None else _engine(engine),
    )


def _engine(raw: dict[str, Any]) -> EngineLimits:
    return EngineLimits(
        slots=int(raw["Slots"]),
        memory_tokens=int(raw["KvCapacity"]),
        token_bytes=int(raw.get("KvTokenBytes") or 0),
        copies=bool(raw.get("Backups", False)),
        copy_kept_s=float(raw.get("HandleS") or 0.0),
        moves=bool(raw.get("Moves", False)),
        event_tokens=int(raw.get("Stride") or 1),
    )


def _organisations(tenants: Any) -> dict[str, Organisation]:
    return {
        key: Organisation(name=raw["Name"], priority=raw.get("Priority"))
        for raw in tenants
        for key in raw.get("ApiKeys") or ()
    }


def _limits(raw: dict[str, Any]) -> ClientLimits:
    default = ClientLimits()
    return ClientLimits(
        header_bytes=int(raw.get("MaxHeaderBytes") or default.header_bytes),
        body_bytes=int(raw.get("MaxBodyBytes") or default.body_bytes),
        header_timeout_s=float(raw.get("HeaderTimeoutMs") or default.header_timeout_s * MS) / MS,
        idle_timeout_s=float(raw.get("IdleTimeoutMs") or default.idle_timeout_s * MS) / MS,
    )
