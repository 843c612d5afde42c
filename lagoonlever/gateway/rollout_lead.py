"""Leads roll-outs: joins the counts of all VMs, decides, tells the others, writes the status.

Any VM that reads the store for others may lead; of those that do, the first by name is heard.
One status counts: it is written in place of what was read, and a final one is never changed.
"""

from __future__ import annotations

import attrs
import logbook
import trio

from lagoonlever.decisions.fleet.roles import Roles
from lagoonlever.decisions.rollouts.plan import (
    ExposureBounds,
    OtherVersions,
    Plan,
    TrialProgress,
    plan_rollout,
    plan_sole_version,
    plan_without_counts,
)
from lagoonlever.decisions.rollouts.totals import RolloutTotals, VmCounts
from lagoonlever.decisions.rollouts.versions import (
    RolloutOrder,
    RolloutPhase,
    RolloutState,
    is_of_order,
)
from lagoonlever.exceptions import PlatformError
from lagoonlever.gateway import events
from lagoonlever.gateway.beliefs import Beliefs
from lagoonlever.gateway.knowledge import KnowledgeExchange
from lagoonlever.gateway.rollouts import WORD_S, Rollout, Rollouts
from lagoonlever.identity import Incarnation
from lagoonlever.peers.interface import Bus
from lagoonlever.peers.messages_rollouts import RolloutAsked, RolloutCounts
from lagoonlever.platform.rollouts import (
    RolloutStatus,
    UnreadableRollout,
    read_status,
    status_document,
    status_key,
)
from lagoonlever.published import Published
from lagoonlever.revisions import Revision
from lagoonlever.store.port import KeyValue, RecordStore
from lagoonlever.store.records import StoreRecord
from lagoonlever.timers import TimerService

log = logbook.Logger(__name__)

TOLD_S = 5.0
"""How long a final state is told on, for VMs that missed it."""
WITNESS_S = 1.0
"""How long a VM that did not see the order waits for the word of one that did."""


@attrs.define(kw_only=True, eq=False)
class _Lead:
    """What this VM knows as the leader of one order."""

    rollout: Rollout
    record: StoreRecord
    since: float
    book: RolloutTotals = attrs.field(factory=RolloutTotals)
    verdict: Plan | None = None
    """What was to be written. It holds: operators may have seen it, though its answer was lost."""
    written_at: Revision | None = None
    """The revision of the last status that this VM has written."""
    decided_at: float | None = None


@attrs.define(kw_only=True, eq=False)
class RolloutLead:
    """One task; what it tells others is soft state, the status in the store is not."""

    _bus: Bus
    _beliefs: Beliefs
    _rollouts: Rollouts
    _knowledge: KnowledgeExchange
    _store: RecordStore
    _timers: TimerService
    _roles: Published[Roles | None]
    _own: Incarnation
    _bounds: ExposureBounds
    _leads: dict[str, _Lead] = attrs.field(factory=dict)
    """By service."""

    async def run(self) -> None:
        """Lead whatever is undecided, while that is this VM's part, until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._receive_counts)
            nursery.start_soon(self._receive_questions)
            while True:
                for rollout in self._rollouts.known:
                    await self._step(rollout)
                await trio.sleep(WORD_S)

    async def _receive_counts(self) -> None:
        async for received in self._bus.subscribe(RolloutCounts):
            counts, life = received.message, str(received.sender)
            rollout = self._rollouts.find(counts.service)
            if rollout is not None and rollout.tally.ordered_at == counts.ordered_at:
                self._take(rollout, counts, life)

    def _take(self, rollout: Rollout, counts: RolloutCounts, life: str) -> None:
        elapsed_s = self._timers.now - (rollout.began_at or self._timers.now)
        lanes = {(row.kind, row.phase): row.counts for row in counts.rows}
        told = VmCounts(lanes=lanes, arrivals=counts.arrivals, exposed=counts.exposed)
        self._lead_of(rollout).book.record_vm_counts(life, told, elapsed_s=elapsed_s)

    def _lead_of(self, rollout: Rollout) -> _Lead:
        service = rollout.order.service
        lead = self._leads.get(service)
        if lead is None or lead.rollout is not rollout:
            record = StoreRecord(store=self._store, key=status_key(service))
            lead = _Lead(rollout=rollout, record=record, since=self._timers.now)
            self._leads[service] = lead
        return lead

    def _is_mine(self, rollout: Rollout) -> bool:
        """Check whether this VM leads: it reads for others, and hears nobody before it."""
        roles, leader = self._roles.value, rollout.leader(self._timers.now)
        if roles is None or not roles.reads_store:
            return False
        return leader is None or self._own.name <= leader[0]

    async def _step(self, rollout: Rollout) -> None:
        if not self._is_mine(rollout):
            return
        lead, now = self._lead_of(rollout), self._timers.now
        if self._rollouts.state_of(rollout).is_final:
            await self._keep_final(lead)
            return
        if rollout.began_at is None and now - lead.since < WITNESS_S:
            self._ask(rollout)
            return
        try:
            if not await self._agree(lead, RolloutState.RUNNING):
                return
            self._take(rollout, rollout.tally.message(), str(self._own))
            plan = lead.verdict or self._plan(lead)
            if not plan.state.is_final:
                self._tell_running(lead, plan)
                return
            if lead.verdict is None:
                lead.verdict = plan
                self._log_decision(lead, plan)
            if await self._agree(lead, plan.state):
                self._decide(lead, plan.state)
        except PlatformError:
            # The store's client has logged it. Nothing is told meanwhile, so that the new
            # version gets no work; the next turn tries again.
            return

    def _plan(self, lead: _Lead) -> Plan:
        rollout = lead.rollout
        if rollout.began_at is None:
            return plan_without_counts(self._others(lead))
        if self._beliefs.targets.versions_of(rollout.order.service).is_alone:
            elapsed_s = self._timers.now - rollout.began_at
            return plan_sole_version(rollout.order, elapsed_s, self._others(lead))
        progress = attrs.evolve(
            self._progress(lead),
            others=self._others(lead),
            is_listed=self._is_listed(rollout.order),
        )
        return plan_rollout(rollout.order, progress, self._bounds)

    def _is_listed(self, order: RolloutOrder) -> bool:
        """Check whether a target of the ordered version may take work."""
        return order.version in self._beliefs.targets.listed_versions(order.service)

    def _others(self, lead: _Lead) -> OtherVersions:
        """Return what is known of the targets that would serve in place of the new ones."""
        order, targets = lead.rollout.order, self._beliefs.targets
        listed = targets.listed_versions(order.service)
        return OtherVersions(
            listed=any(version != order.version for version in listed),
            answered=lead.book.other_version_answers > 0,
            is_settled=self._timers.now >= targets.settled_at,
        )

    def _progress(self, lead: _Lead) -> TrialProgress:
        elapsed_s = self._timers.now - (lead.rollout.began_at or self._timers.now)
        is_moving = self._rollouts.phase_of(lead.rollout) is RolloutPhase.MOVING
        return lead.book.progress(elapsed_s=elapsed_s, is_moving=is_moving)

    async def _agree(self, lead: _Lead, state: RolloutState) -> bool:
        """Have a status stand in the store; False where another VM's final one does.

        Also False while a final one stands there that may be of a former order.
        """
        if self._is_out_of_date(lead.record):
            await lead.record.read()
        while True:
            standing = self._standing(lead)
            if standing is not None and (standing.is_final or standing is state):
                if standing is not state:
                    self._decide(lead, standing)
                return standing is state
            if self._is_in_doubt(lead):
                return False
            former, version = lead.record.entry, lead.rollout.order.version
            document = status_document(RolloutStatus(state=state, version=version))
            if await lead.record.write(document):
                lead.written_at = lead.record.revision
                self._log_status(lead, state, former)

    def _is_out_of_date(self, record: StoreRecord) -> bool:
        """Check whether the store has come back from an older copy since the record was read."""
        is_read = record.revision.number > 0
        return not is_read or record.revision.era < self._beliefs.targets.as_of.era

    def _standing(self, lead: _Lead) -> RolloutState | None:
        """Return the state that stands in the store of this order, if any."""
        entry, ordered_at = lead.record.entry, lead.rollout.tally.ordered_at
        if entry is None or entry.revision < ordered_at:
            return None
        is_own = entry.revision == lead.written_at
        return self._read(lead) if is_own or is_of_order(entry.revision, ordered_at) else None

    def _is_in_doubt(self, lead: _Lead) -> bool:
        """Check whether a final status stands in the store that may be of this order or not.

        That is so in a new era until the order is read there: then the revisions tell.
        """
        entry, ordered_at = lead.record.entry, lead.rollout.tally.ordered_at
        if entry is None or entry.revision.era <= ordered_at.era:
            return False
        found = self._read(lead)
        return found is not None and found.is_final

    def _read(self, lead: _Lead) -> RolloutState | None:
        """Return the state that stands in the store, if it is of the ordered version."""
        entry = lead.record.entry
        if entry is None:
            return None
        try:
            status = read_status(entry.key, entry.value)
        except UnreadableRollout as error:
            events.ROLLOUT_UNREADABLE.log(log, error=str(error))
            return None
        return status.state if status.version == lead.rollout.order.version else None

    def _decide(self, lead: _Lead, state: RolloutState) -> None:
        """Act on a final state that stands in the store, and tell the others."""
        lead.decided_at = self._timers.now
        self._rollouts.decided(lead.rollout, state, source="store")
        self._tell(lead, Plan(phase=RolloutPhase.HELD, state=state))

    async def _keep_final(self, lead: _Lead) -> None:
        """Report a final state for a while; write it where the store lacks it or has lost it."""
        now, state = self._timers.now, self._rollouts.state_of(lead.rollout)
        if lead.decided_at is None:
            lead.decided_at = now
        if now - lead.decided_at < TOLD_S:
            self._tell(lead, Plan(phase=RolloutPhase.HELD, state=state))
        if not self._is_out_of_date(lead.record):
            standing = self._standing(lead)
            if self._is_in_doubt(lead) or (standing is not None and standing.is_final):
                return
        try:
            await lead.record.read()
            await self._agree(lead, state)
        except PlatformError:
            # The store's client has logged it; the next turn tries again.
            return

    def _ask(self, rollout: Rollout) -> None:
        """Ask all VMs for what one may know that saw the order, and doesn't lead."""
        order = rollout.order
        self._knowledge.push(
            RolloutAsked(
                service=order.service,
                version=order.version,
                duration_s=order.duration_s,
                ordered_at=rollout.tally.ordered_at,
            )
        )

    async def _receive_questions(self) -> None:
        async for received in self._bus.subscribe(RolloutAsked):
            asked, asker = received.message, received.sender.name
            self._knowledge.pass_on(asked, asker)
            self._rollouts.take_order(asked.order, asked.ordered_at, witnessed=False)
            known = self._rollouts.find(asked.service)
            if known is not None and known.order == asked.order:
                self._rollouts.tell_known(known, asker)

    def _tell_running(self, lead: _Lead, plan: Plan) -> None:
        """Report what is done until the next word. A VM that lacks the order allows nothing."""
        if lead.rollout.began_at is not None:
            self._tell(lead, plan)

    def _tell(self, lead: _Lead, plan: Plan) -> None:
        word = self._rollouts.word(
            lead.rollout, state=plan.state, phase=plan.phase, shares=plan.shares
        )
        self._knowledge.push(word)
        if not plan.state.is_final:
            self._rollouts.take_word(word, self._own.name)

    def _log_status(self, lead: _Lead, state: RolloutState, former: KeyValue | None) -> None:
        order = lead.rollout.order
        events.ROLLOUT_STATUS.log(
            log,
            service=order.service,
            version=order.version,
            state=state.value,
            revision=lead.record.revision,
            former=_describe_status(former),
            ordered_at=lead.rollout.tally.ordered_at,
        )

    def _log_decision(self, lead: _Lead, plan: Plan) -> None:
        progress, targets = self._progress(lead), self._beliefs.targets
        service = lead.rollout.order.service
        events.ROLLOUT_JUDGED.log(
            log,
            service=service,
            version=lead.rollout.order.version,
            state=plan.state.value,
            reason=plan.reason or "its answers are as good as the old version's",
            exposed=progress.exposed,
            arrivals=sum(progress.arrivals.values()),
            ratio=round(progress.judgement.total_log_ratio, 2),
            worst=round(progress.judgement.worst_log_ratio, 2),
            moved=round(progress.judgement_since_move.total_log_ratio, 2),
            listed=dict(targets.listed_versions(service)),
            answers=lead.book.other_version_answers,
            settles_s=round(max(0.0, targets.settled_at - self._timers.now), 2),
        )


def _describe_status(entry: KeyValue | None) -> str:
    """Return what stood in the store, for a line of the log."""
    if entry is None:
        return "none"
    try:
        status = read_status(entry.key, entry.value)
    except UnreadableRollout:
        return f"what can't be read, by {entry.revision}"
    return f"{status.state.value} of {status.version}, by {entry.revision}"
