"""The options of the membership protocol."""

from __future__ import annotations

import attrs

from lagoonlever.config.options import option


@attrs.define(kw_only=True)
class MembershipSettings:
    """Options of the membership protocol; the same on all VMs."""

    period_s: float = option(
        doc="Seconds between two probes.", default=1.0, at_least=0.05, at_most=60.0
    )
    ack_timeout_s: float = option(
        doc="Seconds before helpers are asked to probe.", default=0.3, at_least=0.01, at_most=30.0
    )
    suspicion_periods: int = option(
        doc="Periods in which a suspected member can answer.", default=3, at_least=1, at_most=60
    )
    helpers: int = option(doc="Helpers asked for a probe.", default=3, at_least=0, at_most=16)
    contact_interval_s: float = option(
        doc="Seconds between two tries to reach a dead or unknown VM.",
        default=10.0,
        at_least=0.1,
        at_most=600.0,
    )
