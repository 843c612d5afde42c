"""The narrow port to the platform's key-value service, and its adapters."""

from __future__ import annotations

# Importing an adapter fills the registry.
from lagoonlever.store import etcd_json

__all__ = ("etcd_json",)
