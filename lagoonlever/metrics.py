"""The catalogue of metrics: each declared once, with the page that explains it.

The operators' page of metrics is generated from ``CATALOGUE``;
``lagoonlever.instruments`` records the values.
"""

from __future__ import annotations

import enum
from collections.abc import Iterator

import attrs

LATENCY_BOUNDS_S = (0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0, 120.0)


class InstrumentKind(enum.Enum):
    """How the values of an instrument add up."""

    COUNTER = "counter"
    GAUGE = "gauge"
    HISTOGRAM = "histogram"


@attrs.frozen(kw_only=True)
class InstrumentSpec:
    """One metric: its name, its unit in the notation of UCUM, its labels, and its page."""

    name: str
    kind: InstrumentKind
    unit: str
    labels: tuple[str, ...]
    doc: str
    bounds: tuple[float, ...] = ()


class Catalogue:
    """Every declared metric by name."""

    def __init__(self) -> None:
        self._specs: dict[str, InstrumentSpec] = {}

    def __iter__(self) -> Iterator[InstrumentSpec]:
        return iter(self._specs.values())

    def add(self, spec: InstrumentSpec) -> InstrumentSpec:
        """Register a metric; raises ``ValueError`` for a name that is taken."""
        if spec.name in self._specs:
            raise ValueError(f"metric {spec.name!r} is declared twice")
        self._specs[spec.name] = spec
        return spec


CATALOGUE = Catalogue()


def counter(name: str, *, unit: str, labels: tuple[str, ...] = (), doc: str) -> InstrumentSpec:
    """Declare a number that only grows."""
    return CATALOGUE.add(
        InstrumentSpec(name=name, kind=InstrumentKind.COUNTER, unit=unit, labels=labels, doc=doc)
    )


def gauge(name: str, *, unit: str, labels: tuple[str, ...] = (), doc: str) -> InstrumentSpec:
    """Declare a number that is as it is now."""
    return CATALOGUE.add(
        InstrumentSpec(name=name, kind=InstrumentKind.GAUGE, unit=unit, labels=labels, doc=doc)
    )


def latency(name: str, *, labels: tuple[str, ...] = (), doc: str) -> InstrumentSpec:
    """Declare a distribution of durations in seconds."""
    return CATALOGUE.add(
        InstrumentSpec(
            name=name,
            kind=InstrumentKind.HISTOGRAM,
            unit="s",
            labels=labels,
            doc=doc,
            bounds=LATENCY_BOUNDS_S,
        )
    )


REQUESTS = counter(
    "lagoonlever.requests",
    unit="{request}",
    labels=("organisation", "outcome", "reason"),
    doc="Requests that ended, by outcome (`done`, `not-run`, `unknown`, `failed`) and reason.",
)
OBJECTIVE_EVENTS = counter(
    "lagoonlever.objective.events",
    unit="{event}",
    labels=("organisation", "objective", "verdict"),
    doc="Events that count towards a service-level objective, each `good` or `bad`; "
    "`lagoonlever report burn` works from these.",
)
OPEN_STREAMS = gauge(
    "lagoonlever.streams.open",
    unit="{stream}",
    labels=("organisation",),
    doc="Generations that this VM relays now.",
)
TOKENS_RELAYED = counter(
    "lagoonlever.tokens.relayed",
    unit="{token}",
    labels=("organisation",),
    doc="Output tokens released to callers.",
)
FIRST_TOKEN_LATENCY = latency(
    "lagoonlever.first_token.latency",
    labels=("organisation",),
    doc="From the arrival of a request to its first released token.",
)
QUEUE_WAIT = latency(
    "lagoonlever.queue.wait",
    labels=("organisation",),
    doc="From the arrival of a request to its dispatch to a target.",
)
QUEUE_DEPTH = gauge(
    "lagoonlever.queue.depth",
    unit="{request}",
    labels=("organisation",),
    doc="Requests that wait on this VM for their turn.",
)
SHARE_USED = gauge(
    "lagoonlever.share.used",
    unit="1",
    labels=("organisation",),
    doc="The organisation's part of all engine work of late, over all VMs, from 0 to 1.",
)
SHARE_ENTITLED = gauge(
    "lagoonlever.share.entitled",
    unit="1",
    labels=("organisation",),
    doc="The part that the organisation is entitled to among those with demand now.",
)
RESUME_LATENCY = latency(
    "lagoonlever.resume.latency",
    labels=("organisation",),
    doc="The gap that a loss makes in an answer: between the last token of one attempt and the "
    "first of the next; for a caller that comes from a lost VM, from its arrival here.",
)
LOOKUP_LATENCY = latency(
    "lagoonlever.lookup.latency",
    labels=("organisation",),
    doc="From the arrival of an idempotent service call to its answer.",
)
EXTRA_WORK = counter(
    "lagoonlever.extra_work",
    unit="{token}",
    labels=("organisation", "cause"),
    doc="Tokens that are prefilled again because an answer is continued (`resume`) or tried "
    "on a second engine (`hedge`); a run without failures needs none.",
)
RETRIES = counter(
    "lagoonlever.retries",
    unit="{attempt}",
    labels=("organisation", "kind"),
    doc="Attempts of generations beyond the first, `resume` or `hedge`.",
)
PLATFORM_CALLS = counter(
    "lagoonlever.platform.calls",
    unit="{call}",
    labels=("call", "result"),
    doc="Calls on the platform's service; a waiting watch counts as one.",
)
PLATFORM_RESTORES = counter(
    "lagoonlever.platform.restores",
    unit="{restore}",
    doc="How often this VM has noticed that the platform's store came back from an older copy.",
)
CONTROL_BYTES = counter(
    "lagoonlever.control.bytes",
    unit="By",
    labels=("direction", "message"),
    doc="Bytes of messages between the entry VMs, `sent` and `received`, by the tag of the "
    "message (`shares`: sums of use; `mp`, `ma`: probes of members and their answers).",
)
MEMBERS = gauge(
    "lagoonlever.members",
    unit="{vm}",
    labels=("state",),
    doc="Entry VMs as this VM sees them, by state.",
)
TARGETS = gauge(
    "lagoonlever.targets",
    unit="{target}",
    labels=("state",),
    doc="Targets as this VM sees them, by state.",
)
SETTINGS_VERSION = gauge(
    "lagoonlever.settings.version",
    unit="1",
    doc="The version of the settings tree in force on this VM.",
)
PAUSES = counter(
    "lagoonlever.pauses",
    unit="{pause}",
    doc="Times that this process found it had been paused; its leases were void after each.",
)
