"""Plan of a roll-out: the share of requests that the new version gets, and the final decision.

A bad version may receive only a small share of all requests between the order and its deadline
(its allowance), whichever fault it has and whenever the fault begins. A version on trial therefore
gets a few requests of each kind, enough to judge it. All new work moves to it only once the
requests expected until the deadline fit into the rest of the allowance, even if the version turned
bad at that moment. Requests that run on the old targets finish meanwhile, since those targets stop
as soon as the roll-out completes.

If all VMs are lost, the requests that the version has received are unknown, and a store restored
from an older copy may list targets that no longer exist. A decision that removes targets is not
based on that alone: it waits until the target list has settled. A version whose targets are the
only ones left is not rolled back for lack of information, as no target would serve callers then. A
version none of whose targets takes work is neither moved to nor completed.
"""

from __future__ import annotations

import attrs

from lagoonlever.decisions.rollouts.evidence import NO_EVIDENCE, Judgement
from lagoonlever.decisions.rollouts.versions import RolloutOrder, RolloutPhase, RolloutState

MOVE_START_ALLOWANCE_SHARE = 0.88
"""Share of the operators' allowance that must suffice until the deadline for work to start moving.

It has to cover the requests that the version has had and those expected. The rest of the
allowance is for requests that are not counted yet.
"""
MOVE_KEEP_ALLOWANCE_SHARE = 0.95
"""Work moves back once the same requests exceed this share of the allowance.

It is above the share for starting, as arrivals vary from second to second.
"""
WANTED_ANSWERS_PER_KIND = 20
"""Wanted answers for each kind of request: the good answers that the test needs to conclude."""
MIN_TRIAL_SHARE = 0.02
MAX_TRIAL_SHARE = 0.5
"""Limits of the share of one kind of request that is sent to a version on trial.

A rare kind needs a larger share than a frequent one to collect enough answers.
"""
DECISION_LEAD_S = 0.3
"""The decision is made this long before the deadline, to allow for a store write and a retry."""
TRIAL_ALLOWANCE_SHARE = 0.27
"""A version on trial gets at most this share of the allowance before all new work moves."""


@attrs.frozen(kw_only=True)
class ExposureBounds:
    """Limit on the requests of a bad version: a share of all requests, plus a fixed number."""

    share: float = 0.1
    slack: int = 50


@attrs.frozen(kw_only=True)
class OtherVersions:
    """Knowledge about a service's targets of versions other than the ordered one."""

    listed: bool = True
    """At least one is listed and not known to be leaving."""
    answered: bool = False
    """At least one has answered since the VM that judges the roll-out learned of the order."""
    is_settled: bool = True
    """The target list is reliable: it contains exactly the targets that exist."""

    @property
    def are_gone(self) -> bool:
        """Whether no such target is left, by a reliable list."""
        return self.is_settled and not self.listed

    @property
    def are_present(self) -> bool:
        """Whether at least one such target is known to exist."""
        return self.listed and (self.is_settled or self.answered)


@attrs.frozen(kw_only=True)
class TrialProgress:
    """State of a roll-out at ``elapsed_s`` seconds after the order.

    ``arrivals`` counts the requests for all versions, by kind of request.
    """

    elapsed_s: float
    arrivals: dict[str, int]
    exposed: int
    """Requests that were sent to the new version."""
    judgement: Judgement = NO_EVIDENCE
    """Judgement by all answers of the new version."""
    judgement_since_move: Judgement = NO_EVIDENCE
    """Judgement by the answers to requests sent while all new work went to the new version."""
    is_moving: bool = False
    """All new work already goes to the new version."""
    is_listed: bool = True
    """At least one target of the new version is listed and not known to be leaving."""
    others: OtherVersions = OtherVersions()


@attrs.frozen(kw_only=True)
class Plan:
    """Routing that every VM applies until the next plan, and the state of the roll-out."""

    phase: RolloutPhase
    shares: dict[str, float] = attrs.field(factory=dict)
    """Share (0 to 1) of each kind of request that goes to the new version while it is on trial."""
    state: RolloutState = RolloutState.RUNNING
    reason: str = ""


def plan_rollout(order: RolloutOrder, progress: TrialProgress, bounds: ExposureBounds) -> Plan:
    """Return what to do now; the caller writes a final state to the store before applying it."""
    remaining_s = order.duration_s - DECISION_LEAD_S - progress.elapsed_s
    if progress.judgement.is_bad or progress.judgement_since_move.is_bad:
        return _rolled_back("its answers are worse than the old version's")
    if not progress.others.listed:
        return _plan_without_others(progress.others, remaining_s)
    if not progress.is_listed:
        return _plan_without_targets(progress.others, remaining_s)
    if remaining_s > 0 and _may_move(order, progress, bounds, remaining_s):
        return Plan(phase=RolloutPhase.MOVING)
    if _may_complete(order, progress, bounds, remaining_s):
        return Plan(phase=RolloutPhase.MOVING, state=RolloutState.COMPLETED)
    if remaining_s > 0:
        return Plan(phase=RolloutPhase.TRIAL, shares=_trial_shares(order, progress, bounds))
    if progress.judgement.is_sound and not progress.is_moving:
        return _rolled_back("more requests arrived than expected, and they used up its allowance")
    return _rolled_back("too few answers to judge it sound")


def plan_sole_version(order: RolloutOrder, elapsed_s: float, others: OtherVersions) -> Plan:
    """Return the plan where no other version was listed since the order: no work has to move."""
    if elapsed_s < order.duration_s - DECISION_LEAD_S or not others.are_gone:
        return Plan(phase=RolloutPhase.HELD)
    return _completed("no other version was listed since the order")


def plan_without_counts(others: OtherVersions) -> Plan:
    """Return the plan where no remaining VM saw the order, so that no counts of it are known."""
    if others.are_present:
        return _rolled_back("no remaining VM saw the order or counted the version's requests")
    if others.are_gone:
        return _completed("no target of another version is left")
    return Plan(phase=RolloutPhase.HELD)


def _plan_without_others(others: OtherVersions, remaining_s: float) -> Plan:
    """Return the plan of a version not judged bad while no other version has targets listed."""
    if remaining_s > 0 or not others.are_gone:
        return Plan(phase=RolloutPhase.TRIAL)
    return _completed("no target of another version is left")


def _plan_without_targets(others: OtherVersions, remaining_s: float) -> Plan:
    """Return the plan while no target of the ordered version takes work, and others are listed.

    Completing it would end the only targets that serve. They are waited for until the deadline.
    """
    if remaining_s > 0 or not others.are_present:
        return Plan(phase=RolloutPhase.TRIAL)
    return _rolled_back("none of its targets takes work")


def _completed(reason: str) -> Plan:
    return Plan(phase=RolloutPhase.HELD, state=RolloutState.COMPLETED, reason=reason)


def _rolled_back(reason: str) -> Plan:
    return Plan(phase=RolloutPhase.HELD, state=RolloutState.ROLLED_BACK, reason=reason)


def _arrivals_per_s(progress: TrialProgress) -> float:
    """Return the service's arrivals per second, of all kinds of request."""
    return sum(progress.arrivals.values()) / max(1.0, progress.elapsed_s)


def _allowance(order: RolloutOrder, progress: TrialProgress, bounds: ExposureBounds) -> float:
    """Return the number of requests that the new version may get from order to deadline."""
    expected = _arrivals_per_s(progress) * order.duration_s
    return bounds.share * expected + bounds.slack


def _may_move(
    order: RolloutOrder, progress: TrialProgress, bounds: ExposureBounds, remaining_s: float
) -> bool:
    """Check whether the answers and the allowance permit all new work to move to the version."""
    if not progress.judgement.is_likely_sound:
        return False
    allowance_share = (
        MOVE_KEEP_ALLOWANCE_SHARE if progress.is_moving else MOVE_START_ALLOWANCE_SHARE
    )
    return _fits_allowance(order, progress, bounds, remaining_s, allowance_share=allowance_share)


def _may_complete(
    order: RolloutOrder, progress: TrialProgress, bounds: ExposureBounds, remaining_s: float
) -> bool:
    """Check whether a version that gets all new work may be completed.

    Before the deadline this is checked only if the version would otherwise lose the work again
    because more requests arrived than expected. It may still turn bad, so the test of its answers
    since the move must conclude that it is sound, and the requests expected until the deadline
    must fit into the allowance.
    """
    if not (
        progress.is_moving
        and progress.judgement.is_sound
        and progress.judgement_since_move.is_likely_sound
    ):
        return False
    if remaining_s <= 0:
        return True
    return progress.judgement_since_move.is_sound and _fits_allowance(
        order, progress, bounds, remaining_s, allowance_share=1.0
    )


def _fits_allowance(
    order: RolloutOrder,
    progress: TrialProgress,
    bounds: ExposureBounds,
    remaining_s: float,
    *,
    allowance_share: float,
) -> bool:
    """Check whether all requests until the deadline fit into a share of the allowance."""
    expected_requests = _arrivals_per_s(progress) * (remaining_s + DECISION_LEAD_S)
    return progress.exposed + expected_requests <= allowance_share * _allowance(
        order, progress, bounds
    )


def _trial_shares(
    order: RolloutOrder, progress: TrialProgress, bounds: ExposureBounds
) -> dict[str, float]:
    """Return the share of each kind of request that yields the wanted number of answers.

    All shares are scaled down if they would exceed the trial's part of the allowance, and are
    empty once that part is used up.
    """
    max_exposed = TRIAL_ALLOWANCE_SHARE * _allowance(order, progress, bounds)
    if progress.exposed >= max_exposed:
        return {}
    trial_s = max(1.0, order.duration_s * 0.6)
    shares = {}
    for kind, arrivals in progress.arrivals.items():
        rate = arrivals / max(1.0, progress.elapsed_s)
        wanted = WANTED_ANSWERS_PER_KIND / max(0.1, rate * trial_s)
        shares[kind] = min(MAX_TRIAL_SHARE, max(MIN_TRIAL_SHARE, wanted))
    expected = sum(
        share * progress.arrivals[kind] / max(1.0, progress.elapsed_s) * trial_s
        for kind, share in shares.items()
    )
    scale = min(1.0, max_exposed / expected) if expected else 1.0
    return {kind: share * scale for kind, share in shares.items()}
