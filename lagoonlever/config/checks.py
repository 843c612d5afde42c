"""Checks of option values that several sections share; each gives a fault or None."""

from __future__ import annotations

import ipaddress

from lagoonlever.http.messages import Address
from lagoonlever.identity import NAME

MAX_PORT = 65535


def check_name(text: str) -> str | None:
    """Check the name of a VM, target, organisation or data centre."""
    if NAME.match(text):
        return None
    return f"is {text!r}; give 1 to 63 lower-case letters, digits and hyphens"


def check_address(text: str) -> str | None:
    """Check an address: an IP number and a port, as in ``10.0.0.1:8080``."""
    try:
        address = Address.parse(text)
        ipaddress.ip_address(address.host)
    except ValueError:
        return f"is {text!r}; give an IP number and a port, such as 10.0.0.1:8080"
    if not 0 <= address.port <= MAX_PORT:
        return f"has the port {address.port}; give one from 0 to {MAX_PORT}"
    return None


def check_addresses(texts: list[str] | tuple[str, ...]) -> str | None:
    """Check a list of addresses: each well formed, none twice."""
    for place, text in enumerate(texts):
        fault = check_address(text)
        if fault is not None:
            return f"entry {place} {fault}"
    if len(set(texts)) != len(texts):
        return "names an address twice; remove one"
    return None


def is_wildcard(text: str) -> bool:
    """Tell whether an address is that of all interfaces, which nobody can connect to."""
    return ipaddress.ip_address(Address.parse(text).host).is_unspecified


def is_loopback(text: str) -> bool:
    """Tell whether an address reaches only processes of the same machine."""
    return ipaddress.ip_address(Address.parse(text).host).is_loopback
