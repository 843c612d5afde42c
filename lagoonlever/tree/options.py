"""The options that a node of the settings tree can override, declared once.

The defaults are those of the root ``/``. An option that a node leaves out is
inherited from its parent; ``api_keys`` alone belongs to the node that states it.
"""

from __future__ import annotations

import hashlib
import re

import attrs

from lagoonlever.config.options import option

API_KEY_DIGEST = re.compile(r"sha256:[0-9a-f]{64}\Z")
OWN_OPTIONS = frozenset({"api_keys"})
"""Options that children do not inherit."""

OptionValue = bool | int | float | str | tuple[str, ...]


def api_key_digest(api_key: str) -> str:
    """Give the form in which the settings hold a caller's key."""
    return "sha256:" + hashlib.sha256(api_key.encode()).hexdigest()


def _check_digests(values: tuple[str, ...]) -> str | None:
    for value in values:
        if API_KEY_DIGEST.match(value) is None:
            return "holds something that is no 'sha256:<64 hex digits>'; never store the key itself"
    return None


@attrs.frozen(kw_only=True)
class EffectiveSettings:
    """Every option of one node, with what it inherits filled in."""

    weight: float = option(
        default=1.0, at_least=0.001, at_most=1e6, doc="Share of the pool against its siblings'."
    )
    max_running: int = option(
        default=10_000, at_least=0, at_most=1_000_000, doc="Requests that may run at once."
    )
    queue_bound: int = option(
        default=1_000, at_least=0, at_most=100_000, doc="Requests that may wait on one VM."
    )
    max_queue_wait_s: float = option(
        default=10.0, at_least=0.0, at_most=3600.0, doc="Longest wait before 'not run' is told."
    )
    retry_budget: float = option(
        default=0.1,
        at_least=0.0,
        at_most=1.0,
        doc="Retries and hedges that each lookup that went well allows, on average.",
    )
    deadline_s: float = option(
        default=900.0, at_least=0.1, at_most=86_400.0, doc="Time for a whole request."
    )
    priority: int = option(
        default=100, at_least=0, at_most=1_000, doc="Order within the engines; lower runs first."
    )
    hedge_resumes: bool = option(
        default=True,
        doc="Begin elsewhere as soon as an engine is suspected: resumes sooner, for some "
        "extra engine work.",
    )
    models: tuple[str, ...] = option(
        default=(), doc="Models that may be asked for; an empty list allows every model."
    )
    max_tokens: int = option(
        default=16_384, at_least=1, at_most=10_000_000, doc="Longest answer in tokens."
    )
    max_prompt_tokens: int = option(
        default=131_072,
        at_least=1,
        at_most=10_000_000,
        doc="Longest prompt in tokens; four characters of text count as one.",
    )
    fencing_checked: tuple[str, ...] = option(
        default=(),
        doc="Engines that refuse an order with an old fencing number; counts at the root.",
    )
    api_keys: tuple[str, ...] = option(
        default=(),
        check=_check_digests,
        doc="Digests of the keys by which callers belong to this node; not inherited.",
    )


OPTION_NAMES = tuple(field.name for field in attrs.fields(EffectiveSettings))
