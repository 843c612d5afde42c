"""Reports for operators: the status of a VM's view, and service-level burn."""

from __future__ import annotations
