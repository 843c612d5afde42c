"""The probes of one VM: whom to ping, whom to ask for help, and when silence counts."""

from __future__ import annotations

from random import Random

import attrs

from lagoonlever.decisions.fleet.data_centers import spread_over_data_centers
from lagoonlever.decisions.membership.outbox import Outbox
from lagoonlever.decisions.membership.probe import Probe, ProbeBook, Relay
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
"""Each so many-th probe goes to any member: it finds a death whose watchers died too."""
PERIOD_JITTER = 0.1


@attrs.define(kw_only=True, eq=False)
class Prober:
    """Probes one member a period, and answers the probes of others."""

    _roster: Roster
    _outbox: Outbox
    _settings: MembershipSettings
    _random: Random
    _book: ProbeBook = attrs.field(factory=ProbeBook, init=False)
    _periods: int = attrs.field(default=0, init=False)
    _due: float | None = attrs.field(default=None, init=False)

    def tick(self, now: float) -> None:
        """Ask helpers, end what ran out, and start the next probe when it is due."""
        self._ask_helpers(now)
        self._end_probes(now)
        self._end_relays(now)
        self._start_period(now)

    def forget(self) -> None:
        """Forget what is outstanding: after a pause its silence proves nothing."""
        self._book.clear()

    def on_ping(self, ping: Ping, now: float) -> None:
        """Answer a ping, and tell its sender what it must hear of itself."""
        ack = Ack(
            sequence=ping.sequence,
            own=self._roster.own_news(now),
            digest=self._roster.digest,
            news=(*self._roster.correction(ping.own, now), *self._roster.take_fill(now)),
            verdicts=self._roster.take_riding_verdicts(),
        )
        self._outbox.send(ping.own.peer_address, ack, expected=ping.own.incarnation)

    def on_ack(self, ack: Ack, now: float) -> None:
        """End the probe, or pass the answer on to the member on whose behalf it was asked."""
        if self._book.probes.pop(ack.sequence, None) is not None:
            self._roster.health.note_success()
        relay = self._book.relays.pop(ack.sequence, None)
        if relay is None:
            return
        passed_on = Ack(
            sequence=relay.sequence,
            own=self._roster.own_news(now),
            digest=self._roster.digest,
            news=(ack.own,),
        )
        self._outbox.send(relay.asker_address, passed_on, expected=relay.asker)

    def on_ping_request(self, request: PingRequest, now: float) -> None:
        """Ping a member on behalf of another."""
        target = self._roster.table.find(request.target.incarnation)
        if target is None or target is self._roster.own:
            return
        sequence = self._book.next_sequence()
        self._book.relays[sequence] = Relay(
            asker=request.own.incarnation,
            asker_address=request.own.peer_address,
            sequence=request.sequence,
            ends_at=now + self._settings.ack_timeout_s,
        )
        self._ping(target, sequence, now)

    def on_nack(self, nack: Nack) -> None:
        """Note that a helper reached this VM but not the target."""
        probe = self._book.probes.get(nack.sequence)
        if probe is not None:
            probe.nacks += 1

    def _start_period(self, now: float) -> None:
        if self._due is None:
            # VMs that start together would otherwise probe in step for ever.
            self._due = now + self._settings.period_s * self._random.random()
        if now < self._due:
            return
        spread = self._random.uniform(1 - PERIOD_JITTER, 1 + PERIOD_JITTER)
        self._due = now + self._settings.period_s * spread
        self._periods += 1
        target = self._next_target()
        if target is not None:
            self._probe(target, now)

    def _next_target(self) -> MemberRecord | None:
        others = self._roster.others
        if not others:
            return None
        if self._periods % RANDOM_PROBE_EVERY == 0:
            return self._random.choice(others)
        watched = self._roster.watched
        return watched[self._periods % len(watched)]

    def _probe(self, target: MemberRecord, now: float) -> None:
        sequence = self._book.next_sequence()
        factor = self._roster.health.factor
        self._book.probes[sequence] = Probe(
            target=target.incarnation,
            ask_helpers_at=now + self._settings.ack_timeout_s * factor,
            ends_at=now + self._settings.period_s * factor,
        )
        self._ping(target, sequence, now)

    def _ping(self, target: MemberRecord, sequence: int, now: float) -> None:
        ping = Ping(
            sequence=sequence,
            own=self._roster.own_news(now),
            digest=self._roster.digest,
            news=self._roster.take_fill(now, about=target),
            verdicts=self._roster.take_riding_verdicts(),
        )
        self._outbox.send(target.peers, ping, expected=target.incarnation)

    def _ask_helpers(self, now: float) -> None:
        for sequence, probe in self._book.probes.items():
            if probe.helpers_asked or now < probe.ask_helpers_at:
                continue
            target = self._roster.table.find(probe.target)
            if target is None:
                continue
            helpers = self._choose_helpers(target)
            probe.helpers_asked = True
            probe.helpers = len(helpers)
            request = PingRequest(
                sequence=sequence, own=self._roster.own_news(now), target=target.news(now)
            )
            for helper in helpers:
                self._outbox.send(helper.peers, request, expected=helper.incarnation)

    def _choose_helpers(self, target: MemberRecord) -> list[MemberRecord]:
        """Choose members at random, of different data centres first: a link may be cut."""
        candidates = [
            record
            for record in self._roster.others
            if record.status is Status.ALIVE and record is not target
        ]
        self._random.shuffle(candidates)
        return spread_over_data_centers(candidates)[: self._settings.helpers]

    def _end_probes(self, now: float) -> None:
        for probe in self._book.take_ended_probes(now):
            if probe.own_fault_likely:
                self._roster.health.note_own_fault()
            target = self._roster.table.find(probe.target)
            if target is None or target.status is not Status.ALIVE:
                continue
            self._roster.suspect(target, now)
            told = Gossip(news=(target.news(now),))
            self._outbox.send(target.peers, told, expected=target.incarnation)

    def _end_relays(self, now: float) -> None:
        for relay in self._book.take_ended_relays(now):
            nack = Nack(sequence=relay.sequence)
            self._outbox.send(relay.asker_address, nack, expected=relay.asker)
