"""The failure detector of one VM: whom to ping, when to ask helpers, and when to suspect.

Each period this VM pings one member. If the answer does not come in time, other members
(helpers) are asked to ping it, so that a fault of the link between two VMs is not taken for a
death. A member that answers neither way is suspected.
"""

from __future__ import annotations

from random import Random

import attrs

from lagoonlever.decisions.fleet.data_centers import spread_over_data_centers
from lagoonlever.decisions.membership.outbox import Outbox
from lagoonlever.decisions.membership.probe import Probe, ProbeRegistry, Relay
from lagoonlever.decisions.membership.roster import Roster
from lagoonlever.decisions.membership.settings import MembershipSettings
from lagoonlever.decisions.membership.table import MemberRecord
from lagoonlever.peers.messages_membership import (
    Ack,
    Gossip,
    Nack,
    Ping,
    PingRequest,
    Status,
)

RANDOM_PROBE_EVERY = 5
"""Every fifth probe goes to a random member instead of a neighbour. It finds members that died
together with all neighbours that probe them."""
PERIOD_JITTER = 0.1
"""The share of the period by which it varies at random."""


@attrs.define(kw_only=True, eq=False)
class Prober:
    """A prober that pings one member a period, and answers the pings of others."""

    _roster: Roster
    _outbox: Outbox
    _settings: MembershipSettings
    _random: Random
    _registry: ProbeRegistry = attrs.field(factory=ProbeRegistry, init=False)
    _periods: int = attrs.field(default=0, init=False)
    _next_probe_at: float | None = attrs.field(default=None, init=False)

    def tick(self, now: float) -> None:
        """Ask helpers, end the probes and relays that timed out, start a probe when one is due."""
        self._ask_helpers(now)
        self._end_probes(now)
        self._end_relays(now)
        self._start_period(now)

    def discard_outstanding(self) -> None:
        """Discard all probes and relays: after a pause a missing answer proves nothing."""
        self._registry.clear()

    def on_ping(self, ping: Ping, now: float) -> None:
        """Answer a ping, with a correction where the sender's own entry is out of date."""
        ack = Ack(
            sequence=ping.sequence,
            own=self._roster.own_update(now),
            digest=self._roster.digest,
            news=(
                *self._roster.correction(ping.own, now),
                *self._roster.take_load_updates(now),
            ),
            verdicts=self._roster.take_piggyback_verdicts(),
        )
        self._outbox.send(ping.own.peer_address, ack, expected=ping.own.incarnation)

    def on_ack(self, ack: Ack, now: float) -> None:
        """End the probe, or forward the answer to the member that requested the relay."""
        if self._registry.probes.pop(ack.sequence, None) is not None:
            self._roster.health.record_success()
        relay = self._registry.relays.pop(ack.sequence, None)
        if relay is None:
            return
        forwarded = Ack(
            sequence=relay.sequence,
            own=self._roster.own_update(now),
            digest=self._roster.digest,
            news=(ack.own,),
        )
        self._outbox.send(relay.requester_address, forwarded, expected=relay.requester)

    def on_ping_request(self, request: PingRequest, now: float) -> None:
        """Ping a member on behalf of another."""
        target = self._roster.table.find(request.target.incarnation)
        if target is None or target is self._roster.own:
            return
        sequence = self._registry.next_sequence()
        self._registry.relays[sequence] = Relay(
            requester=request.own.incarnation,
            requester_address=request.own.peer_address,
            sequence=request.sequence,
            ends_at=now + self._settings.ack_timeout_s,
        )
        self._ping(target, sequence, now)

    def on_nack(self, nack: Nack) -> None:
        """Count a helper that this VM can reach but that got no answer from the target."""
        probe = self._registry.probes.get(nack.sequence)
        if probe is not None:
            probe.nacks += 1

    def _start_period(self, now: float) -> None:
        """Probe the next member if a period has passed since the last probe."""
        if self._next_probe_at is None:
            # A random first delay keeps VMs that start together from always probing in step.
            self._next_probe_at = now + self._settings.period_s * self._random.random()
        if now < self._next_probe_at:
            return
        jitter = self._random.uniform(1 - PERIOD_JITTER, 1 + PERIOD_JITTER)
        self._next_probe_at = now + self._settings.period_s * jitter
        self._periods += 1
        target = self._next_target()
        if target is not None:
            self._probe(target, now)

    def _next_target(self) -> MemberRecord | None:
        """Return the next watched neighbour, or every fifth time a random member."""
        others = self._roster.others
        if not others:
            return None
        if self._periods % RANDOM_PROBE_EVERY == 0:
            return self._random.choice(others)
        watched = self._roster.watched
        return watched[self._periods % len(watched)]

    def _probe(self, target: MemberRecord, now: float) -> None:
        """Ping a member and await its answer; the timeouts grow with the local health factor."""
        sequence = self._registry.next_sequence()
        factor = self._roster.health.factor
        self._registry.probes[sequence] = Probe(
            target=target.incarnation,
            ask_helpers_at=now + self._settings.ack_timeout_s * factor,
            ends_at=now + self._settings.period_s * factor,
        )
        self._ping(target, sequence, now)

    def _ping(self, target: MemberRecord, sequence: int, now: float) -> None:
        ping = Ping(
            sequence=sequence,
            own=self._roster.own_update(now),
            digest=self._roster.digest,
            news=self._roster.take_load_updates(now, receiver=target),
            verdicts=self._roster.take_piggyback_verdicts(),
        )
        self._outbox.send(target.peers, ping, expected=target.incarnation)

    def _ask_helpers(self, now: float) -> None:
        """Ask helpers to ping the targets that have not answered within the ack timeout."""
        for sequence, probe in self._registry.probes.items():
            if probe.helpers_asked or now < probe.ask_helpers_at:
                continue
            target = self._roster.table.find(probe.target)
            if target is None:
                continue
            helpers = self._choose_helpers(target)
            probe.helpers_asked = True
            probe.helpers = len(helpers)
            request = PingRequest(
                sequence=sequence,
                own=self._roster.own_update(now),
                target=target.to_update(now),
            )
            for helper in helpers:
                self._outbox.send(helper.peers, request, expected=helper.incarnation)

    def _choose_helpers(self, target: MemberRecord) -> list[MemberRecord]:
        """Choose alive members at random, from different data centres first.

        A link between two data centres may be cut; helpers in a third one can still reach the
        target.
        """
        candidates = [
            record
            for record in self._roster.others
            if record.status is Status.ALIVE and record is not target
        ]
        self._random.shuffle(candidates)
        return spread_over_data_centers(candidates)[: self._settings.helpers]

    def _end_probes(self, now: float) -> None:
        """Suspect the members whose probes failed, and send each the suspicion."""
        for probe in self._registry.take_ended_probes(now):
            if probe.own_fault_likely:
                self._roster.health.record_own_fault()
            target = self._roster.table.find(probe.target)
            if target is None or target.status is not Status.ALIVE:
                continue
            self._roster.suspect(target, now)
            gossip = Gossip(news=(target.to_update(now),))
            self._outbox.send(target.peers, gossip, expected=target.incarnation)

    def _end_relays(self, now: float) -> None:
        """Send a nack to the requesters of relays whose target did not answer in time."""
        for relay in self._registry.take_ended_relays(now):
            nack = Nack(sequence=relay.sequence)
            self._outbox.send(relay.requester_address, nack, expected=relay.requester)
