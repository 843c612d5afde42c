"""How much of a service's work a version gets that is being rolled out, from second to second.

A bad version may get a small share of all requests between the order and its deadline, whatever
it shows and when. So a version on trial gets a few requests of each kind, enough to judge it; all
new work moves there only when what is still to come until the deadline fits into the rest of
the allowance, also if it turned bad in that moment. What runs on the old targets comes to its
end meanwhile, as they stop at once with the completion.

Where all VMs are lost nobody knows what a version has got, and where the store has come back from
an older copy it may list targets that are gone. A verdict that takes targets out is not drawn
from that alone: it waits until the list has settled, and a version whose targets are the only ones
left is not rolled back for want of knowledge, as nobody would be served then.
"""

from __future__ import annotations

import attrs

from lagoonlever.decisions.rollouts.evidence import NO_EVIDENCE, Judgement
from lagoonlever.decisions.rollouts.versions import RolloutOrder, RolloutPhase, RolloutState

ALLOWANCE_USED = 0.88
"""Of the operators' allowance, when all work begins to move: the rest is for what is uncounted."""
ALLOWANCE_KEPT = 0.95
"""Of it, until all work goes back: arrivals vary from second to second."""
WANTED_ANSWERS = 20
"""Of each kind of request: as many sound ones as the test needs to be sure."""
LEAST_SHARE = 0.02
MOST_SHARE = 0.5
"""Of one kind of request: a rare one needs more than a frequent one."""
DECIDED_BEFORE_S = 0.3
"""Before the deadline: the store's answer, and a try again, take some of it."""
TRIAL_PART = 0.27
"""Of the allowance, at most, before all new work moves."""


@attrs.frozen(kw_only=True)
class ExposureBounds:
    """What a version that turns out bad may have got, of all requests and beyond them."""

    share: float = 0.1
    slack: int = 50


@attrs.frozen(kw_only=True)
class OtherVersions:
    """What is known of a service's targets of other versions than the ordered one."""

    listed: bool = True
    """Some are listed, and not known to leave."""
    answered: bool = False
    """One has answered since the VM that judges knows the order."""
    is_settled: bool = True
    """The list can be believed: what it names is there, and what is there it names."""

    @property
    def are_gone(self) -> bool:
        """Whether none is left."""
        return self.is_settled and not self.listed

    @property
    def are_present(self) -> bool:
        """Whether one is known to be left."""
        return self.listed and (self.is_settled or self.answered)


@attrs.frozen(kw_only=True)
class TrialProgress:
    """What is known of a roll-out at a moment; ``arrivals`` by kind of request, of all versions."""

    elapsed_s: float
    arrivals: dict[str, int]
    exposed: int
    """Requests that the new version has got."""
    judgement: Judgement = NO_EVIDENCE
    """By all answers."""
    judgement_since_move: Judgement = NO_EVIDENCE
    """By the answers to requests that were sent when all new work went there."""
    is_moving: bool = False
    """All new work goes there already."""
    others: OtherVersions = OtherVersions()


@attrs.frozen(kw_only=True)
class Plan:
    """What every VM does until the next word."""

    phase: RolloutPhase
    shares: dict[str, float] = attrs.field(factory=dict)
    """Of each kind of request, how many go to the new version while it is on trial."""
    state: RolloutState = RolloutState.RUNNING
    reason: str = ""


def plan_rollout(order: RolloutOrder, progress: TrialProgress, bounds: ExposureBounds) -> Plan:
    """Decide what to do now; a final state is to be written, and then acted on."""
    left_s = order.duration_s - DECIDED_BEFORE_S - progress.elapsed_s
    if progress.judgement.is_bad or progress.judgement_since_move.is_bad:
        return _rolled_back("its answers are worse than the old version's")
    if not progress.others.listed:
        return _plan_alone(progress.others, left_s)
    if left_s > 0 and _may_move(order, progress, bounds, left_s):
        return Plan(phase=RolloutPhase.MOVING)
    if _may_complete(order, progress, bounds, left_s):
        return Plan(phase=RolloutPhase.MOVING, state=RolloutState.COMPLETED)
    if left_s > 0:
        return Plan(phase=RolloutPhase.TRIAL, shares=_shares(order, progress, bounds))
    if progress.judgement.is_sound and not progress.is_moving:
        return _rolled_back("more requests than were expected have used its allowance")
    return _rolled_back("too few answers to be sure of it")


def plan_sole_version(order: RolloutOrder, elapsed_s: float, others: OtherVersions) -> Plan:
    """Decide of a version beside which none was listed since the order: nothing is to be moved."""
    if elapsed_s < order.duration_s - DECIDED_BEFORE_S or not others.are_gone:
        return Plan(phase=RolloutPhase.HELD)
    return _completed("no other version was there since the order")


def plan_without_counts(others: OtherVersions) -> Plan:
    """Decide of an order that no VM saw which is left, nor what its version has got since."""
    if others.are_present:
        return _rolled_back("no VM is left that saw the order, nor what the version has got since")
    if others.are_gone:
        return _completed("no target of another version is left")
    return Plan(phase=RolloutPhase.HELD)


def _plan_alone(others: OtherVersions, left_s: float) -> Plan:
    """Decide of a version whose answers are not bad, and beside which no target is listed."""
    if left_s > 0 or not others.are_gone:
        return Plan(phase=RolloutPhase.TRIAL)
    return _completed("no target of another version is left")


def _completed(reason: str) -> Plan:
    return Plan(phase=RolloutPhase.HELD, state=RolloutState.COMPLETED, reason=reason)


def _rolled_back(reason: str) -> Plan:
    return Plan(phase=RolloutPhase.HELD, state=RolloutState.ROLLED_BACK, reason=reason)


def _rate(progress: TrialProgress) -> float:
    """Give the arrivals of the service a second, all kinds together."""
    return sum(progress.arrivals.values()) / max(1.0, progress.elapsed_s)


def _allowance(order: RolloutOrder, progress: TrialProgress, bounds: ExposureBounds) -> float:
    """Give how many requests the new version may get until the deadline in all."""
    expected = _rate(progress) * order.duration_s
    return bounds.share * expected + bounds.slack


def _may_move(
    order: RolloutOrder, progress: TrialProgress, bounds: ExposureBounds, left_s: float
) -> bool:
    """Tell whether all new work may move there, as far as answers and the allowance go."""
    if not progress.judgement.is_likely_sound:
        return False
    part = ALLOWANCE_KEPT if progress.is_moving else ALLOWANCE_USED
    return _fits(order, progress, bounds, left_s, part=part)


def _may_complete(
    order: RolloutOrder, progress: TrialProgress, bounds: ExposureBounds, left_s: float
) -> bool:
    """Tell whether a version that has all work is to stay.

    Before the deadline it is asked only of one that would lose the work again, as more requests
    came than were expected. It may turn bad yet, so its answers since the move must be sure to be
    sound, and what is to come must fit into the allowance.
    """
    if not (
        progress.is_moving
        and progress.judgement.is_sound
        and progress.judgement_since_move.is_likely_sound
    ):
        return False
    if left_s <= 0:
        return True
    return progress.judgement_since_move.is_sound and _fits(
        order, progress, bounds, left_s, part=1.0
    )


def _fits(
    order: RolloutOrder,
    progress: TrialProgress,
    bounds: ExposureBounds,
    left_s: float,
    *,
    part: float,
) -> bool:
    """Tell whether all that is to come until the deadline fits into a part of the allowance."""
    to_come = _rate(progress) * (left_s + DECIDED_BEFORE_S)
    return progress.exposed + to_come <= part * _allowance(order, progress, bounds)


def _shares(
    order: RolloutOrder, progress: TrialProgress, bounds: ExposureBounds
) -> dict[str, float]:
    """Give each kind the share that brings it the wanted answers."""
    most = TRIAL_PART * _allowance(order, progress, bounds)
    if progress.exposed >= most:
        return {}
    trial_s = max(1.0, order.duration_s * 0.6)
    shares = {}
    for kind, arrivals in progress.arrivals.items():
        rate = arrivals / max(1.0, progress.elapsed_s)
        wanted = WANTED_ANSWERS / max(0.1, rate * trial_s)
        shares[kind] = min(MOST_SHARE, max(LEAST_SHARE, wanted))
    expected = sum(
        share * progress.arrivals[kind] / max(1.0, progress.elapsed_s) * trial_s
        for kind, share in shares.items()
    )
    scale = min(1.0, most / expected) if expected else 1.0
    return {kind: share * scale for kind, share in shares.items()}
