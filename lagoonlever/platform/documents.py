"""What operators, targets, callers and the platform write, for the stand-ins that write it."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from lagoonlever.decisions.rollouts.versions import RolloutOrder
from lagoonlever.decisions.settings.configuration import (
    Configuration,
    EngineLimits,
    RouteKind,
    ServiceRoute,
    TargetService,
)
from lagoonlever.decisions.targets.listed_target import ListedTarget
from lagoonlever.gateway.settings import GatewaySettings
from lagoonlever.http.messages import Address, Headers
from lagoonlever.platform import headers as fields
from lagoonlever.platform.configuration import MS
from lagoonlever.platform.entry_calls import RESOLVE_PATH, Addresses
from lagoonlever.platform.targets import DRAINING

SHARED_TOKENS = 10
"""Tokens of each part that a prompt shares."""
_KIND_NAMES = {
    RouteKind.IDEMPOTENT: "idempotent",
    RouteKind.NON_IDEMPOTENT: "non_idempotent",
    RouteKind.STREAM: "streaming",
}


def configuration_document(configuration: Configuration) -> bytes:
    """Give a configuration as operators store it."""
    limits = configuration.limits
    keys: dict[str, list[str]] = {}
    for key, organisation in configuration.organisations.items():
        keys.setdefault(organisation.name, []).append(key)
    document = {
        "Version": configuration.version,
        "Routes": [_route(route) for route in configuration.routes],
        "Services": [_service(service) for service in configuration.services.values()],
        "Limits": {
            "MaxHeaderBytes": limits.header_bytes,
            "MaxBodyBytes": limits.body_bytes,
            "HeaderTimeoutMs": limits.header_timeout_s * MS,
            "IdleTimeoutMs": limits.idle_timeout_s * MS,
        },
        "Tenants": [{"Name": name, "ApiKeys": held} for name, held in keys.items()],
    }
    return msgspec.json.encode(document)


def target_entry(target: ListedTarget) -> bytes:
    """Give the entry that a target writes of itself."""
    entry: dict[str, object] = {
        "Service": target.service,
        "Address": str(target.address),
        "Zone": target.data_center,
        "Version": target.version or "v1",
        "Slots": target.slots,
        "State": DRAINING if target.draining else "ready",
        "ColdRemainingMs": 0,
        "Sequence": 1,
    }
    if target.started_ms is not None:
        entry["born"] = target.started_ms
    return msgspec.json.encode(entry)


def settings_text(settings: GatewaySettings) -> str:
    """Give the settings file that the platform writes for a VM."""
    bounds, budget = settings.bounds, settings.retry_budget
    values: dict[str, object] = {
        "Node": settings.name,
        "Ip": settings.listen.host,
        "Zone": settings.data_center,
        "Region": settings.region,
        **{f"Zones.{place}": settings.region for place in settings.data_centers},
        "Listen.Front": settings.listen,
        "Listen.Ready": settings.readiness,
        "Listen.Directory": settings.directory,
        "Listen.Control": settings.bus,
        "PortRange": f"{settings.tunnel.port},{settings.tunnel.port}" if settings.tunnel else "",
        "Seeds": ",".join(str(seed) for seed in settings.seeds),
        "Limits.MemoryMb": settings.machine.memory_mb,
        "Limits.MaxFds": settings.machine.descriptors,
        "Limits.LinkMbps": settings.machine.link_mbps,
        "Platform.Address": settings.store.address,
        "Bounds.DrainMs": bounds.drain_s * MS,
        "Bounds.GraceS": bounds.grace_s,
        "Bounds.ConfigApplyMs": bounds.apply_s * MS,
        "Bounds.RetryBudgetRatio": budget.ratio,
        "Bounds.BudgetWindowS": budget.window_s,
        "Bounds.RetryBudgetSlack": budget.slack,
    }
    return "".join(f"{name}={value}\n" for name, value in values.items())


def caller_headers(
    *,
    request_id: str,
    host: str,
    key: str,
    deadline_s: float,
    more: Iterable[tuple[str, str]] = (),
) -> Headers:
    """Give the head fields of a caller's request."""
    return Headers(
        (
            ("Host", host),
            (fields.REQUEST_ID, request_id),
            (fields.DEADLINE, str(round(deadline_s * MS))),
            ("Authorization", f"Bearer {key}"),
            *more,
        )
    )


def prompt_fields(
    part: str,
    *,
    prompt_tokens: int,
    output_tokens: int,
    last_event_id: int | None,
    resumes: str | None = None,
    shared: tuple[str, ...] = ("shared",),
) -> list[tuple[str, str]]:
    """Return the fields of a request for a stream; ``part`` is the prompt's own.

    ``shared`` are the parts before it. ``resumes`` is the request that brought the first event of
    a stream that goes on.
    """
    parts = [f"{each}:{SHARED_TOKENS}" for each in shared]
    parts.append(f"{part}:{prompt_tokens - SHARED_TOKENS * len(shared)}")
    sent = [
        (fields.MODEL, "m"),
        (fields.TOKEN_COUNT, f"{prompt_tokens},{output_tokens}"),
        (fields.PROMPT_PARTS, ",".join(parts)),
    ]
    if last_event_id is not None:
        sent.append((fields.LAST_EVENT_ID, str(last_event_id)))
    if resumes is not None:
        sent.append((fields.RESUMES, resumes))
    return sent


def resolve_path(host: str, *, data_center: str) -> str:
    """Give the question where to connect."""
    return f"{RESOLVE_PATH}?Name={host}&Region=r&Zone={data_center}"


def read_addresses(body: bytes) -> tuple[Address, ...]:
    """Decode the answer to that question; raises ``msgspec.MsgspecError``."""
    answer = msgspec.json.decode(body, type=Addresses)
    return tuple(Address.parse(address) for address in answer.addresses)


def _route(route: ServiceRoute) -> dict[str, object]:
    return {
        "Name": route.name,
        "Host": route.host,
        "Prefix": route.prefix,
        "RouteType": _KIND_NAMES[route.kind],
        "TimeoutMs": route.timeout_s * MS,
        "TargetLatencyMs": route.objective_s * MS,
        "Priority": route.priority,
        "Service": route.services[0].name,
        "MaxAttempts": route.max_attempts,
        "AllowAnonymous": route.anonymous,
        "ResumeStreams": route.resumable,
    }


def _service(service: TargetService) -> dict[str, object]:
    written: dict[str, object] = {
        "Name": service.name,
        "HealthPath": service.health_path,
        "MaxConnections": service.max_connections,
    }
    if service.engine is not None:
        written["Engine"] = _engine(service.engine)
    return written


def _engine(engine: EngineLimits) -> dict[str, object]:
    return {
        "Slots": engine.slots,
        "KvCapacity": engine.memory_tokens,
        "KvTokenBytes": engine.token_bytes,
        "Backups": engine.copies,
        "HandleS": engine.copy_kept_s,
        "Moves": engine.moves,
        "Stride": engine.event_tokens,
    }


def order_document(order: RolloutOrder) -> bytes:
    """Give an order of a version as operators store it."""
    return msgspec.json.encode(
        {"Service": order.service, "To": order.version, "DurationS": order.duration_s}
    )
