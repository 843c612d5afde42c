"""The targets that the platform lists, and which of them may be given work.

A target registers itself by an entry in the store and renews the entry. The entry lapses some
seconds after the last renewal. This module handles the cases in which the list differs from the
targets that are really there:

- Store outage: entries lapse while the store is unreachable, though their targets are running, and
  are written again within about two seconds of the store's return. A removal that is read right
  after an outage therefore counts only once these two seconds are over (a held removal). They begin
  at the store's return and not at the removal. Otherwise a VM that alone was cut off from the
  store, which can't distinguish this from an outage, would use a target that really left beyond the
  time in which it may still get work. A removal at any other time counts at once.
- Crash: a crashed target stays listed until its entry lapses, while the process that replaces it
  is listed at the same address under another id. The later one at an address therefore ends the
  earlier ones there (``replaced_targets.py``). Otherwise requests would still be sent to the old
  id, and the new process would reject each.
- Restart under the same id: a target reports when its process started (``started_ms``). A
  different start means another process, for which nothing that was measured before holds.
- Order: changes arrive in any order, from the store and from other VMs. Of each target the change
  of the highest revision counts, also if it is a removal.
- Leave announcement: a target that leaves reports it in its answers too, often before the store's
  list shows it. The announcement counts at once, for as long as the target's process is running,
  whatever the list says later.
- Restored store: the store may be restored from an older copy, and begins a new era then. Its
  list is newer than any change of the era before, but an entry in it may be older than what was
  known of its target. A target that drained or was gone does not become ready by such an entry. An
  entry of an earlier start than the known one belongs to a former process, and does not cancel a
  leave announcement of the later one. A target that is missing gets time to write its entry again.
  Within an era, a start that is earlier than the known one belongs to a new process whose clock was
  set back.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable

import attrs

from lagoonlever.decisions.rollouts.versions import RolloutOrder, ServiceVersions
from lagoonlever.decisions.targets.leave_announcements import FORGET_S, LeaveAnnouncements
from lagoonlever.decisions.targets.leaving_processes import LeavingProcesses
from lagoonlever.decisions.targets.listed_target import ListedTarget, TargetChange
from lagoonlever.decisions.targets.replaced_targets import ReplacedTargets
from lagoonlever.decisions.targets.replacements import UNLISTED_LIFETIME_S
from lagoonlever.decisions.targets.restored_entries import may_be_restored
from lagoonlever.http.messages import Address
from lagoonlever.revisions import NOWHERE, Revision

REREGISTRATION_S = 2.2
"""A removal read after a store outage counts only this long after the store's return.

Targets whose entries lapsed in the outage write them again within about 2 s of the return.
"""
LAPSE_S = 4.0
"""How long the entry of a target that is gone stays listed; the default of ``lapse_s``."""
UNKNOWN_REVISION = Revision(number=-1)
"""The revision of a target of which nothing is known; lower than that of any entry."""


@attrs.define(kw_only=True)
class _RemovedTarget:
    """What is remembered of a target that was removed from the list."""

    revision: Revision
    at: float
    started_ms: int | None = None


@attrs.define(kw_only=True)
class TargetRegistry:
    """The list of targets and what else is known of them; times in monotonic seconds.

    A ``revision`` is one of the store. A ``started_ms`` is when a target's process started, by its
    own clock in Unix milliseconds; None if it does not report it.
    """

    _targets: dict[str, ListedTarget] = attrs.field(factory=dict)
    _held_removals: dict[str, tuple[Revision, float]] = attrs.field(factory=dict)
    """Held removals by target: the revision, and when it counts unless the entry is back."""
    _removed: dict[str, _RemovedTarget] = attrs.field(factory=dict)
    """Targets that were removed within ``FORGET_S``, to ignore changes older than the removal."""
    _highest_numbers: dict[str, int] = attrs.field(factory=dict)
    """The highest number of any revision of each target that is known or remembered, of any era.

    The store may be restored twice, the second time from a copy that is newer than the first one.
    """
    _replaced: ReplacedTargets = attrs.field(factory=ReplacedTargets)
    """Targets that another process has replaced at their address."""
    _unlisted_until: dict[str, float] = attrs.field(factory=dict)
    """Targets that were found without an entry, and until when they are used without one."""
    _former_starts: dict[str, int | None] = attrs.field(factory=dict)
    """The starts before the last one, of targets whose last start a report has told.

    A report names no id: it may be of another process at the target's address.
    """
    _in_doubt: set[str] = attrs.field(factory=set)
    """Targets that were lost and may have restarted under their ids since."""
    _announcements: LeaveAnnouncements = attrs.field(factory=LeaveAnnouncements)
    """The leave announcements that targets made in answers."""
    _leaving: LeavingProcesses = attrs.field(factory=LeavingProcesses)
    """The processes that said so by their answers or entries, also those that are gone."""
    _unconfirmed_until: dict[str, float] = attrs.field(factory=dict)
    """Targets that were gone and are listed by a restored entry, until it would have lapsed."""
    _as_of: Revision = NOWHERE
    _changed_at: Revision = NOWHERE
    lapse_s: float = LAPSE_S
    """How long the entry of a target that is gone stays listed, in seconds."""
    _list_started_at: float | None = None
    """When the list was first read, or first read after an outage or in the store's present era."""
    _restored_at: float | None = None
    """When a list of a new era was first read, as the store had been restored."""
    rolls_out: bool = False
    """Whether versions are rolled out in steps; if not, targets of any version get work."""
    _versions: dict[str, ServiceVersions] = attrs.field(factory=dict)

    @property
    def as_of(self) -> Revision:
        """The store's revision up to which the list contains every change."""
        return self._as_of

    @property
    def changed_at(self) -> Revision:
        """The store's revision of the last change that was seen; another VM may not have it."""
        return self._changed_at

    @property
    def targets(self) -> tuple[ListedTarget, ...]:
        """Every target that is listed, found without an entry, or whose removal is held."""
        return tuple(self._targets.values())

    @property
    def settled_at(self) -> float:
        """When the list names exactly the targets that live; infinite before it was read.

        Until then it may name targets that are gone, whose entries come from an older copy of the
        store or have not lapsed yet, and may lack targets whose entries lapsed in an outage.
        """
        if self._list_started_at is None:
            return math.inf
        return self._list_started_at + max(self.lapse_s, REREGISTRATION_S)

    def listed_versions(self, service: str) -> Counter[str]:
        """Return the number of targets of a service that may be there, by version.

        Targets that leave or were replaced are not counted. Targets that are listed only by an
        entry of an older copy of the store are.
        """
        return Counter(
            target.version
            for target in self._targets.values()
            if target.service == service
            and target.version is not None
            and not self._is_leaving(target)
        )

    def find(self, target_id: str) -> ListedTarget | None:
        """Return a target by its id, or None if it is not known."""
        return self._targets.get(target_id)

    def name_at(self, address: Address) -> str:
        """Return the id of the target at an address, or the address if none is listed there."""
        named = (target.id for target in self.targets if target.address == address)
        return next(named, str(address))

    def versions_of(self, service: str) -> ServiceVersions:
        """Return the state of a service's versions, which is created where there is none."""
        return self._versions.setdefault(service, ServiceVersions())

    @property
    def versioned_services(self) -> tuple[str, ...]:
        """The services whose versions are tracked."""
        return tuple(self._versions)

    def apply_order(self, order: RolloutOrder) -> None:
        """Apply an operator's order to roll out a version of a service."""
        listed = _versions_of(t for t in self._targets.values() if t.service == order.service)
        self.versions_of(order.service).apply_order(order, listed)

    def serving(
        self, service: str, *, on_trial: bool = False, version: str | None = None
    ) -> tuple[ListedTarget, ...]:
        """Return the targets of a service that may be given work.

        With ``on_trial`` only those of a version on trial, or the usual ones if there is none. With
        ``version`` those that may go on with work which that version has begun.
        """
        able = self._available(service)
        versions = self._versions.get(service)
        if version is not None:
            may_continue = versions is None or versions.may_continue(version)
            return tuple(t for t in able if may_continue and t.version == version)
        if versions is None:
            return able
        listed = _versions_of(able)
        wanted = versions.trial_versions(listed) if on_trial else frozenset[str]()
        wanted = wanted or versions.ordinary_versions(listed)
        takes_unnamed = versions.takes_unnamed(listed)
        return tuple(
            target
            for target in able
            if target.version in wanted or (target.version is None and takes_unnamed)
        )

    def count_blocked_by_version(self, service: str) -> int:
        """Return the number of available targets of a service if their versions block them all.

        Return 0 if any target of the service may be given work.
        """
        return 0 if self.serving(service) else len(self._available(service))

    def has_version(self, service: str, version: str) -> bool:
        """Check whether a target of a version is there that may take work, now or once it is back.

        A target that has crashed counts until its entry lapses or another one has its address. So
        does an unlisted process that nobody has named yet: it may be of this version.
        """
        versions = self._versions.get(service)
        if versions is not None and not versions.may_continue(version):
            return False
        return any(
            target.service == service
            and not self._is_leaving(target)
            and (target.version == version or self._is_unnamed(target))
            for target in self._targets.values()
        )

    def _is_unnamed(self, target: ListedTarget) -> bool:
        return target.version is None and target.id in self._unlisted_until

    def takes_work(self, target_id: str, *, version: str | None = None) -> bool:
        """Check whether a target may be given work now; called again right before each write.

        ``version`` is the version that has begun the work, if any has.
        """
        target = self._targets.get(target_id)
        if target is None or not self._is_available(target):
            return False
        versions = self._versions.get(target.service)
        if version is not None:
            may_continue = versions is None or versions.may_continue(version)
            return may_continue and target.version == version
        if versions is None:
            return True
        if target.version is not None and versions.is_ordinary(target.version):
            return True
        listed = _versions_of(self._available(target.service))
        if target.version is None:
            return versions.takes_unnamed(listed)
        return target.version in versions.ordinary_versions(listed) | versions.trial_versions(
            listed
        )

    def _available(self, service: str) -> tuple[ListedTarget, ...]:
        return tuple(
            target
            for target in self._targets.values()
            if target.service == service and self._is_available(target)
        )

    def _is_available(self, target: ListedTarget) -> bool:
        """Check whether a target takes work, without regard to its version."""
        return not self._is_leaving(target) and target.id not in self._unconfirmed_until

    def _is_leaving(self, target: ListedTarget) -> bool:
        """Check whether a target is known to leave, or to have been replaced."""
        if target.draining or self._replaced.is_replaced(target.id):
            return True
        return self._announcements.is_leaving(target.id)

    def apply_list(
        self,
        targets: Iterable[ListedTarget],
        *,
        revision: Revision,
        now: float,
        store_back_at: float | None,
    ) -> tuple[TargetChange, ...]:
        """Apply the whole list as of a revision; return the changes that count now.

        ``store_back_at`` is when the store was reached again after an outage; None if there was
        none lately. A list of a new era shows that the store has just come back. The list may
        come from another VM, and contain a target whose removal that VM holds. Such a target has
        no entry of the new era, so this VM starts its own delay for the removal.
        """
        is_restored = self._as_of > NOWHERE and self._as_of.era < revision.era
        self._update_list_start(now, store_back_at, is_restored=is_restored)
        if is_restored:
            self._restored_at = now
        listed = {t.id: t for t in targets if t.revision.era == revision.era}
        changes = [
            TargetChange(id=target.id, target=target, revision=target.revision)
            for target in listed.values()
        ]
        changes += [
            TargetChange(id=missing, target=None, revision=revision)
            for missing in self._targets.keys() - listed.keys()
        ]
        counted = [
            change
            for change in changes
            if self.apply_change(change, now=now, store_back_at=store_back_at)
        ]
        self._as_of = max(self._as_of, revision)
        self._record_versions()
        if is_restored:
            self._changed_at = revision
        return tuple(counted)

    def apply_change(
        self, change: TargetChange, *, now: float, store_back_at: float | None
    ) -> bool:
        """Apply one change; return whether it counts now.

        It does not if a newer change of the target is known, or if it is a removal that is held.
        """
        if change.revision.era < self._as_of.era:
            return False
        if change.revision <= self._known_revision(change.id):
            return False
        self._changed_at = max(self._changed_at, change.revision)
        if change.target is not None:
            return self._apply_entry(attrs.evolve(change.target, revision=change.revision), now)
        counts_at = self._removal_counts_at(now, store_back_at)
        if change.id in self._targets and counts_at > now:
            self._held_removals.setdefault(change.id, (change.revision, counts_at))
            return False
        self._remove(change.id, change.revision, now)
        return True

    def advance_to(self, revision: Revision) -> None:
        """Record that the list contains every change up to a revision of the store."""
        self._as_of = max(self._as_of, revision)

    def process_start(self, target_id: str) -> int | None:
        """Return the last known start of a target's process, also if the target is gone."""
        known = self._targets.get(target_id) or self._removed.get(target_id)
        return known.started_ms if known is not None else None

    def is_in_doubt(self, target_id: str) -> bool:
        """Check whether a target may be another process than the list names.

        That is so after it was lost, until it reports its start. A target that reports none gets
        another id with each process, and rejects what is sent to the former one.
        """
        return target_id in self._in_doubt

    def record_loss(self, target_id: str) -> None:
        """Record that a target was lost; if it answers again it may have restarted."""
        known = self._targets.get(target_id)
        if known is not None and known.started_ms is not None:
            self._in_doubt.add(target_id)

    def record_no_start(self, target_id: str) -> None:
        """Record that a target that was lost reports, and tells no start of its process.

        It gets another id with each process, so it is the one that the list names.
        """
        self._in_doubt.discard(target_id)

    def record_restart(self, target_id: str, started_ms: int) -> bool:
        """Record the start that a target itself reports; return whether it has restarted.

        The report takes precedence over the target's entry, which may be read later and be older.
        The version of the new process is unknown until its own entry names it.
        """
        known = self._targets.get(target_id)
        self._in_doubt.discard(target_id)
        if known is None:
            return False
        if known.started_ms == started_ms:
            if target_id not in self._former_starts:
                self._replaced.forget(target_id)
            return False
        if known.started_ms is None:
            self._targets[target_id] = attrs.evolve(known, started_ms=started_ms)
            self._former_starts[target_id] = None
            self._leaving.name_start(target_id, started_ms)
            return False
        self._targets[target_id] = attrs.evolve(known, started_ms=started_ms, version=None)
        self._former_starts[target_id] = known.started_ms
        self._replaced.forget(target_id)
        self._compare_at(self._targets[target_id])
        self._announcements.forget(target_id)
        return True

    @property
    def leaving(self) -> LeavingProcesses:
        """The processes that said that they leave, also for a while after they are gone."""
        return self._leaving

    @property
    def leave_announcements(self) -> dict[str, int | None]:
        """The targets that announced that they leave, with the starts of their processes."""
        return self._announcements.process_starts

    def record_leave_announcement(
        self, target_id: str, *, started_ms: int | None, now: float
    ) -> bool:
        """Record that a target announced its leave; return whether this was not known.

        An announcement of an earlier process than the known one is ignored.
        """
        known = self._targets.get(target_id)
        if known is not None and known.is_later_than(started_ms):
            return False
        start = self.process_start(target_id) if started_ms is None else started_ms
        self._leaving.record(target_id, start, now)
        return self._announcements.record(target_id, started_ms=started_ms, now=now)

    def mark_replaced(
        self,
        target_id: str,
        now: float,
        *,
        by: str | None = None,
        started_ms: int | None = None,
    ) -> None:
        """Record that another process answers at a target's address, so that the target is gone.

        ``by`` is the id with which it answers, and ``started_ms`` the start of the process that was
        replaced; None if they are not known. A later process of the target is not replaced.
        """
        if by is not None:
            self._replaced.forget(by)
        known = self._targets.get(target_id)
        if known is not None and not known.has_restarted_since(started_ms):
            self._replaced.record_answer(target_id, by=by, now=now)
            self._compare_at(known)

    def is_address_taken(self, target_id: str) -> bool:
        """Check whether a target is gone, or an available target has its address."""
        target = self._targets.get(target_id)
        if target is None:
            return True
        others = [t for t in self._targets.values() if t.address == target.address]
        return any(t is not target and self._is_available(t) for t in others)

    def adopt_unlisted(self, former_id: str, new_id: str, now: float) -> bool:
        """Use an unlisted process that was found at a lost target's address in its place.

        Its version is unknown until its own entry names it: a version belongs to a process and not
        to its address. Return whether it is used. It is not if its id is already known, or if the
        address has a newer entry or another process that was found there.
        """
        former = self._targets.get(former_id)
        if former is None or new_id in self._targets or new_id in self._removed:
            return False
        there = [t for t in self._targets.values() if t.address == former.address]
        is_listed = former_id not in self._unlisted_until
        found_before = is_listed and any(t.id in self._unlisted_until for t in there)
        if found_before or any(target.revision > former.revision for target in there):
            return False
        for target in there:
            self._replaced.record_answer(target.id, by=new_id, now=now)
        self._targets[new_id] = attrs.evolve(
            former, id=new_id, draining=False, version=None, started_ms=None
        )
        self._unlisted_until[new_id] = now + UNLISTED_LIFETIME_S
        return True

    def expire(self, now: float, *, store_away: bool = False) -> tuple[TargetChange, ...]:
        """Drop records whose time is over; return the held removals that count from now on.

        A target without an entry stays in use while the store is away, as it can't register.
        """
        if store_away:
            self._unlisted_until = dict.fromkeys(self._unlisted_until, now + UNLISTED_LIFETIME_S)
        for target_id in [t for t, until in self._unlisted_until.items() if now >= until]:
            del self._unlisted_until[target_id]
            self._remove(target_id, self._known_revision(target_id), now)
        due = [(t, revision) for t, (revision, at) in self._held_removals.items() if now >= at]
        for target_id, revision in due:
            self._remove(target_id, revision, now)
        for target_id in [t for t, gone in self._removed.items() if now - gone.at > FORGET_S]:
            del self._removed[target_id]
            self._highest_numbers.pop(target_id, None)
        self._replaced.expire(now)
        self._announcements.expire(now, kept=self._targets.keys())
        self._leaving.expire(now, listed=self._targets)
        for target_id in [t for t, until in self._unconfirmed_until.items() if now >= until]:
            del self._unconfirmed_until[target_id]
            self._compare_at(self._targets[target_id])
        return tuple(TargetChange(id=t, target=None, revision=revision) for t, revision in due)

    def _removal_counts_at(self, now: float, store_back_at: float | None) -> float:
        """Return when a removal that is read now counts.

        After a restore targets that the copy lacks write their entries again. A list of that time
        may be read more than once, or come from another VM that has read it later.
        """
        returns = [at for at in (store_back_at, self._restored_at) if at is not None]
        return max(now, max(returns) + REREGISTRATION_S) if returns else now

    def _update_list_start(
        self, now: float, store_back_at: float | None, *, is_restored: bool
    ) -> None:
        """Update the time from which on entries lapse, and are written again, as usual."""
        if self._list_started_at is None or is_restored:
            self._list_started_at = now
        elif store_back_at is not None:
            self._list_started_at = max(self._list_started_at, store_back_at)

    def _record_versions(self) -> None:
        """Record the listed versions of each service; the first ones count as its initial ones."""
        if not self.rolls_out:
            return
        for service in {target.service for target in self._targets.values()}:
            listed = _versions_of(t for t in self._targets.values() if t.service == service)
            self.versions_of(service).update_known_versions(listed)

    def _apply_entry(self, target: ListedTarget, now: float) -> bool:
        """Apply an entry; return whether it needs to be sent to other VMs.

        An entry of the start before the one that the target itself reported arrived late, and
        changes only the revision. An entry that differs from the known one only by a revision of a
        new era need not be sent, unless it ends a held removal, as other VMs hold that removal too.
        """
        known, start = self._targets.get(target.id), self.process_start(target.id)
        former = self._former_starts.get(target.id)
        if known is not None and former is not None and former == target.started_ms:
            self._targets[target.id] = attrs.evolve(known, revision=target.revision)
            return True
        if self._is_of_former_process(target):
            later = known or attrs.evolve(target, version=None)
            target = attrs.evolve(later, started_ms=start, revision=target.revision)
        if known is not None and self._is_still_draining(known, target):
            target = attrs.evolve(target, draining=True)
        if known is not None and _names_no_process(target, known):
            target = attrs.evolve(target, version=None)
        may_be_restored = self._may_be_restored(target)
        self._mark_unconfirmed(target, now)
        self._announcements.apply_entry(target, former_start=start)
        if target.has_restarted_since(start):
            self._in_doubt.discard(target.id)
            self._replaced.forget(target.id)
            self._former_starts.pop(target.id, None)
        self._record_number(target.id, target.revision)
        was_held = self._held_removals.pop(target.id, None) is not None
        self._removed.pop(target.id, None)
        self._unlisted_until.pop(target.id, None)
        self._targets[target.id] = target
        self._note_leaving(target, now, may_be_restored=may_be_restored)
        if target.service in self._versions and target.version is not None:
            self._versions[target.service].record_listed(target.version)
        self._replaced.record_entry(target.id, now)
        self._compare_at(target)
        if known is None or was_held or known.revision.era == target.revision.era:
            return True
        return attrs.evolve(known, revision=target.revision) != target

    def _note_leaving(self, target: ListedTarget, now: float, *, may_be_restored: bool) -> None:
        """Update whether the process that an entry names leaves.

        An entry of an older copy of the store may be from before it said so.
        """
        if target.draining or self._announcements.is_leaving(target.id):
            self._leaving.record(target.id, target.started_ms, now)
        elif not may_be_restored:
            self._leaving.withdraw(target.id, target.started_ms)

    def _is_of_former_process(self, entry: ListedTarget) -> bool:
        """Check whether an entry may come from a copy made before the target restarted."""
        start = self.process_start(entry.id)
        if start is None or entry.started_ms is None or entry.started_ms >= start:
            return False
        return self._may_be_restored(entry)

    def _may_be_restored(self, entry: ListedTarget) -> bool:
        """Check whether an entry may be older than something that is known of its target."""
        known = self._known_revision(entry.id)
        highest = max(known.number, self._highest_numbers.get(entry.id, known.number))
        return may_be_restored(entry.revision, known=attrs.evolve(known, number=highest))

    def _is_still_draining(self, known: ListedTarget, entry: ListedTarget) -> bool:
        """Check whether a draining target is listed by an entry from before it began to drain."""
        restarted = entry.has_restarted_since(known.started_ms)
        if not known.draining or restarted:
            return False
        return self._may_be_restored(entry)

    def _mark_unconfirmed(self, target: ListedTarget, now: float) -> None:
        """Mark a target as unconfirmed if it was gone and an entry of an older copy lists it.

        It gets no work for ``lapse_s``, within which the entry lapses unless the target is running.
        An entry of yet another copy confirms nothing.
        """
        was_gone = target.id in self._removed or target.id in self._unconfirmed_until
        self._unconfirmed_until.pop(target.id, None)
        if not was_gone or target.has_restarted_since(self.process_start(target.id)):
            return
        if self._may_be_restored(target):
            self._unconfirmed_until[target.id] = now + self.lapse_s

    def _compare_at(self, listed: ListedTarget) -> None:
        """Judge which of the targets at an address have been replaced by another one there.

        Only entries of the same service and era are compared. An entry that another program
        wrote may name any address, and must not end the target there; a target whose address was
        assigned to another service rejects what is sent to it by its id. An older copy of the
        store lists a target again that another one has replaced since.
        """
        there = [
            target
            for target in self._targets.values()
            if target.address == listed.address
            and target.service == listed.service
            and target.revision.era == listed.revision.era
            and target.id not in self._unconfirmed_until
        ]
        self._replaced.compare(there, self_reported=self._former_starts.keys())

    def _known_revision(self, target_id: str) -> Revision:
        target, gone = self._targets.get(target_id), self._removed.get(target_id)
        if target is not None:
            return target.revision
        return gone.revision if gone is not None else UNKNOWN_REVISION

    def _record_number(self, target_id: str, revision: Revision) -> None:
        former = self._highest_numbers.get(target_id, revision.number)
        self._highest_numbers[target_id] = max(former, revision.number)

    def _remove(self, target_id: str, revision: Revision, now: float) -> None:
        """Remove a target and remember the revision of its removal and its process's start."""
        started_ms = self.process_start(target_id)
        self._held_removals.pop(target_id, None)
        removed = self._targets.pop(target_id, None)
        self._unlisted_until.pop(target_id, None)
        self._replaced.remove(target_id)
        self._former_starts.pop(target_id, None)
        self._unconfirmed_until.pop(target_id, None)
        self._in_doubt.discard(target_id)
        self._record_number(target_id, revision)
        self._removed[target_id] = _RemovedTarget(revision=revision, at=now, started_ms=started_ms)
        if removed is not None:
            self._compare_at(removed)


def _versions_of(targets: Iterable[ListedTarget]) -> set[str]:
    """Return the versions of the targets whose version is known."""
    return {target.version for target in targets if target.version is not None}


def _names_no_process(entry: ListedTarget, known: ListedTarget) -> bool:
    """Check whether an entry may be of either process of a target that has restarted."""
    return known.version is None and known.started_ms is not None and entry.started_ms is None
