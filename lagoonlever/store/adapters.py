"""Every adapter to a key-value service: importing them fills the registry."""

from __future__ import annotations

from lagoonlever.store import etcd_json

__all__ = ("etcd_json",)
