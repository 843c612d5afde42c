"""The settings of one VM: where it listens, its platform, and a section for each part."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from pathlib import Path
from typing import Any

import attrs

from lagoonlever.config.checks import (
    check_address,
    check_addresses,
    check_name,
    is_loopback,
    is_wildcard,
)
from lagoonlever.config.files import load_file
from lagoonlever.config.machine import MachineSettings
from lagoonlever.config.options import option
from lagoonlever.decisions.fleet.addresses import AddressesSettings
from lagoonlever.decisions.membership.settings import MembershipSettings
from lagoonlever.decisions.settings.settings_version import SettingsVersionOptions
from lagoonlever.decisions.suspicion.settings import DetectionSettings
from lagoonlever.entry.admin.operators import AdminSettings
from lagoonlever.entry.callers.serving import RoutingSettings
from lagoonlever.entry.generations.generations import GenerationSettings
from lagoonlever.entry.orders.orders import OrderSettings
from lagoonlever.entry.services.settings import ServiceSettings
from lagoonlever.entry.targets.targets import TargetSettings
from lagoonlever.exceptions import Fault, FaultsError
from lagoonlever.http.messages import Address
from lagoonlever.report.objectives import ObjectiveSettings
from lagoonlever.store.registry import adapter_names


def _check_platform_addresses(texts: tuple[str, ...]) -> str | None:
    if not texts:
        return "is empty; give the address of at least one server of the platform"
    return check_addresses(texts)


def _check_adapter(name: str) -> str | None:
    known = adapter_names()
    return None if name in known else f"is {name!r}; give one of: {', '.join(known)}"


@attrs.frozen(kw_only=True)
class PlatformSettings:
    """How the VM reaches the platform's key-value service."""

    addresses: tuple[str, ...] = option(
        doc="Servers of the platform, each an IP number and a port; tried in turn.",
        check=_check_platform_addresses,
    )
    adapter: str = option(
        doc="The protocol that the platform speaks.", default="etcd-json", check=_check_adapter
    )


@attrs.frozen(kw_only=True)
class VmSettings:
    """Everything that one VM learns from its settings file."""

    name: str = option(doc="The VM's name, unique among the entry VMs.", check=check_name)
    data_center: str = option(doc="The data centre that the VM stands in.", check=check_name)
    listen: str = option(doc="IP number and port for callers and operators.", check=check_address)
    peer_listen: str = option(
        doc="IP number and port for the other entry VMs.", check=check_address
    )
    platform: PlatformSettings = option(doc="The platform's key-value service.")
    advertise: str | None = option(
        doc="The address that callers are told to use; without it, `listen`.",
        default=None,
        check=check_address,
    )
    seeds: tuple[str, ...] = option(
        doc="Peer addresses of some other entry VMs, asked at the start for the rest.",
        default=(),
        check=check_addresses,
    )
    history_file: str | None = option(
        doc="Where to append a history of events for checking; for tests, as VMs keep nothing.",
        default=None,
    )

    machine: MachineSettings = option(
        doc="What the process may use of its VM.", factory=MachineSettings
    )
    addresses: AddressesSettings = option(
        doc="The answer that tells callers which VMs to use.", factory=AddressesSettings
    )
    membership: MembershipSettings = option(
        doc="How the entry VMs watch each other.", factory=MembershipSettings
    )
    settings: SettingsVersionOptions = option(
        doc="How long this VM relies on the settings tree that it knows.",
        factory=SettingsVersionOptions,
    )
    targets: TargetSettings = option(doc="How this VM watches the targets.", factory=TargetSettings)
    generation: GenerationSettings = option(
        doc="Bounds on the generations of this VM.", factory=GenerationSettings
    )
    routing: RoutingSettings = option(
        doc="How a target is chosen for a generation.", factory=RoutingSettings
    )
    detection: DetectionSettings = option(
        doc="How the silence of an engine is judged.", factory=DetectionSettings
    )
    services: ServiceSettings = option(
        doc="The application services that this VM routes to.", factory=ServiceSettings
    )
    admin: AdminSettings = option(doc="Who may use the administration API.", factory=AdminSettings)
    orders: OrderSettings = option(doc="How engines are given orders.", factory=OrderSettings)
    objectives: ObjectiveSettings = option(
        doc="The service-level objectives that the metrics count towards.",
        factory=ObjectiveSettings,
    )

    @property
    def advertised(self) -> Address:
        """The address that callers are told to use."""
        return Address.parse(self.advertise or self.listen)

    @staticmethod
    def faults_between(values: Mapping[str, Any]) -> Iterator[Fault]:
        """Give the faults that show only between options."""
        listen, peer_listen = values.get("listen"), values.get("peer_listen")
        if listen is not None and listen == peer_listen and not listen.endswith(":0"):
            yield Fault(path="peer_listen", message="equals `listen`; give it another port")
        if listen is not None and not values.get("advertise") and is_wildcard(listen):
            yield Fault(
                path="advertise",
                message=f"is missing while `listen` is {listen}; give the IP number and port "
                "that callers can reach",
            )
        if peer_listen is not None and is_wildcard(peer_listen):
            yield Fault(
                path="peer_listen",
                message="is no address that the other VMs can reach; give the VM's own IP number",
            )
        if values.get("advertise") and is_wildcard(values["advertise"]):
            yield Fault(
                path="advertise",
                message="is no address that callers can reach; give the VM's own IP number",
            )


def warnings_of(settings: VmSettings) -> list[Fault]:
    """Give what is allowed but seldom meant; strict checks count these as faults."""
    return list(_warnings(settings))


def _warnings(settings: VmSettings) -> Iterator[Fault]:
    others = [seed for seed in settings.seeds if seed != settings.peer_listen]
    if not others:
        yield Fault(
            path="seeds",
            message="names no other VM, so this VM finds its peers only through the platform; "
            "give the peer addresses of two or three others",
        )
    if settings.history_file is not None:
        yield Fault(
            path="history_file",
            message="is set, and the file grows without bound; remove it outside tests",
        )
    if settings.advertise and is_loopback(settings.advertise) != is_loopback(settings.listen):
        yield Fault(
            path="advertise",
            message=f"is {settings.advertise} while `listen` is {settings.listen}: one is a "
            "loopback address; give both on the same network",
        )


def load_vm_settings(file: Path, *, strict: bool = False) -> VmSettings:
    """Read a VM's settings file; raises ``FaultsError`` with every fault.

    With ``strict`` the warnings count as faults.
    """
    settings = load_file(VmSettings, file)
    warnings = warnings_of(settings) if strict else []
    if warnings:
        raise FaultsError(warnings)
    return settings
