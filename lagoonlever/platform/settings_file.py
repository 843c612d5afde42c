"""Reads the settings file of a process: lines ``a.b=value``, lists joined by commas."""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path

from lagoonlever.decisions.rollouts.plan import ExposureBounds
from lagoonlever.exceptions import Fault, FaultsError
from lagoonlever.gateway.settings import (
    Bounds,
    GatewaySettings,
    MachineLimits,
    RetryBudgetBounds,
    StoreLimits,
)
from lagoonlever.http.messages import Address

MS = 1000.0
ZONES_PREFIX = "Zones."
METRICS_PORT = 9464
"""The usual port of OpenTelemetry's exporter; the deploy file names the same."""


def load_settings(file: Path) -> GatewaySettings:
    """Read a settings file; raises ``FaultsError`` with every fault, told by field."""
    try:
        text = file.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise FaultsError([Fault(path=str(file), message=f"cannot be read: {error}")]) from error
    return read_settings(text)


def read_settings(text: str) -> GatewaySettings:
    """Decode the text of a settings file; fields that are not known are skipped."""
    fields = _Fields(text)
    settings = _settings(fields)
    if fields.faults or settings is None:
        raise FaultsError(fields.faults)
    return settings


class _Fields:
    """The lines of a file by name; gathers a fault for each that is missing or malformed."""

    def __init__(self, text: str) -> None:
        self.faults: list[Fault] = []
        self._values: dict[str, str] = {}
        for number, line in enumerate(text.splitlines(), start=1):
            stripped = line.strip()
            if not stripped or stripped.startswith("#"):
                continue
            name, separator, value = stripped.partition("=")
            if not separator:
                self._fault(f"line {number}", f"is {stripped!r}; give NAME=VALUE")
                continue
            self._values[name.strip()] = value.strip()

    @property
    def values(self) -> Mapping[str, str]:
        """All values by name."""
        return self._values

    def text(self, name: str) -> str:
        """Give a required text, or note its absence."""
        value = self._values.get(name, "")
        if not value:
            self._fault(name, "is required; add it")
        return value

    def number(self, name: str, default: float) -> float:
        """Give a number, or the default where the field is absent."""
        value = self._values.get(name)
        if not value:
            return default
        try:
            return float(value)
        except ValueError:
            self._fault(name, f"is {value!r}; give a number")
            return default

    def milliseconds(self, name: str, default_s: float) -> float:
        """Give a duration in seconds of a field that holds milliseconds."""
        return self.number(name, default_s * MS) / MS

    def address(self, name: str, *, required: bool = False) -> Address | None:
        """Give an address, or None where the field is absent."""
        value = self._values.get(name)
        if not value:
            if required:
                self._fault(name, "is required; give IP:PORT")
            return None
        try:
            return Address.parse(value)
        except ValueError:
            self._fault(name, f"is {value!r}; give IP:PORT")
            return None

    def addresses(self, name: str) -> tuple[Address, ...]:
        """Give the addresses of a list; empty where the field is absent."""
        texts = [text for text in self._values.get(name, "").split(",") if text]
        try:
            return tuple(Address.parse(text) for text in texts)
        except ValueError as error:
            self._fault(name, f"{error}; give IP:PORT,IP:PORT")
            return ()

    def _fault(self, path: str, message: str) -> None:
        self.faults.append(Fault(path=path, message=message))


def _settings(fields: _Fields) -> GatewaySettings | None:
    name = fields.text("Node")
    zone = fields.text("Zone")
    listen = fields.address("Listen.Front", required=True)
    store = fields.address("Platform.Address", required=True)
    bus = fields.address("Listen.Control", required=True)
    if listen is None or store is None or bus is None:
        return None
    zones = [key for key in fields.values if key.startswith(ZONES_PREFIX)]
    return GatewaySettings(
        name=name,
        data_center=zone,
        region=fields.values.get("Region", ""),
        listen=listen,
        readiness=fields.address("Listen.Ready"),
        directory=fields.address("Listen.Directory"),
        bus=bus,
        store=_store(fields, store),
        tunnel=_tunnel_address(fields),
        metrics=_metrics_address(fields),
        seeds=fields.addresses("Seeds"),
        bounds=_bounds(fields),
        retry_budget=_retry_budget(fields),
        machine=MachineLimits(
            memory_mb=fields.number("Limits.MemoryMb", 300.0),
            descriptors=int(fields.number("Limits.MaxFds", 1024)),
            link_mbps=fields.number("Limits.LinkMbps", 0.0),
        ),
        rolls_out="rollout" in fields.values.get("Contracts", "rollout").split(","),
        exposure=_exposure(fields),
        heartbeat_s=fields.milliseconds("HeartbeatMs", 1.2),
        data_centers=tuple(key.removeprefix(ZONES_PREFIX) for key in zones) or (zone,),
    )


def _store(fields: _Fields, address: Address) -> StoreLimits:
    return StoreLimits(
        address=address,
        writes_per_s=fields.number("Platform.WritesPerS", 400.0),
        reads_per_s=fields.number("Platform.ReadsPerS", 2000.0),
        least_lease_s=fields.milliseconds("Platform.TtlMinMs", 1.0),
    )


def _metrics_address(fields: _Fields) -> Address | None:
    host = fields.values.get("Ip")
    return Address(host=host, port=METRICS_PORT) if host else None


def _tunnel_address(fields: _Fields) -> Address | None:
    """Return the first of the ports that are free for traffic between VMs."""
    host = fields.values.get("Ip")
    first = fields.values.get("PortRange", "").partition(",")[0]
    return Address(host=host, port=int(first)) if host and first.isdecimal() else None


def _bounds(fields: _Fields) -> Bounds:
    default = Bounds()
    return Bounds(
        drain_s=fields.milliseconds("Bounds.DrainMs", default.drain_s),
        grace_s=fields.number("Bounds.GraceS", default.grace_s),
        apply_s=fields.milliseconds("Bounds.ConfigApplyMs", default.apply_s),
        address_ttl_s=fields.number("Bounds.ttl_max_s", default.address_ttl_s),
        cache_s=fields.number("Bounds.RetryAfterS", default.cache_s),
        recover_s=fields.number("Bounds.RecoverS", default.recover_s),
        address_reuse_s=fields.number("Bounds.AddrReuseS", default.address_reuse_s),
    )


def _exposure(fields: _Fields) -> ExposureBounds:
    default = ExposureBounds()
    return ExposureBounds(
        share=fields.number("Bounds.ExposeShare", default.share),
        slack=int(fields.number("Bounds.ExposeSlack", default.slack)),
    )


def _retry_budget(fields: _Fields) -> RetryBudgetBounds:
    default = RetryBudgetBounds()
    return RetryBudgetBounds(
        ratio=fields.number("Bounds.RetryBudgetRatio", default.ratio),
        window_s=fields.number("Bounds.BudgetWindowS", default.window_s),
        slack=fields.number("Bounds.RetryBudgetSlack", default.slack),
    )
