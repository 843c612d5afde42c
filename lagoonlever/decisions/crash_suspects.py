"""Which requests end the targets that run them, and are run no more.

The load that is answered: one request ends each target that begins to run it, and is back after
each failure, at any VM and under another id. A VM that only knows which targets were lost
allows it as many attempts each time, so that within a minute every engine has ended, with
the streams of everybody else. So ends are counted by the request that was at the target,
over all VMs, and after the third the request is refused.

Other requests are at a target when it ends, too. One that had begun to tell its answer is no
cause of it, and is not counted. One that may only have waited there counts half: it follows the
cause from target to target, but no longer than until the cause is barred. And one that gets a
whole answer anywhere ends no target: what was counted against it is forgotten.
"""

from __future__ import annotations

from collections.abc import Mapping

import attrs

MOST_ENDED = 3.0
"""Targets that may end under a request: one is an accident, two may be one."""
BEGAN = 1.0
"""The weight of an end where the target had begun to run the request, or may be assumed to."""
WAITED = 0.5
"""The same where the request may only have waited at the target."""
KEPT_FROM = 2
"""Ends under a request that are worth a call to the store. A target that crashes takes all
requests that it has with it, and nearly all of them are served elsewhere."""
BARRED_S = 600.0
"""From the last end under it until a request may be tried again, as a repair may be out."""
KEPT_S = 3600.0
"""From the last end under a request until it is forgotten: it is barred again by one more."""
MOST_KNOWN = 256
"""Requests that are remembered, those with the most ends; some 30 KB."""


@attrs.frozen(kw_only=True)
class End:
    """A target's process ended under a request; ``at`` in seconds."""

    at: float
    weight: float = BEGAN


Ends = Mapping[str, Mapping[str, End]]
"""By a request's fingerprint: the ends of processes under it, by the process."""


@attrs.frozen(kw_only=True)
class Bar:
    """Why a request is refused: so many targets ended under it, and for how long from now on."""

    ended: int
    for_s: float


def process_name(target: str, started_ms: int | None) -> str:
    """Give the name of a target's process; one that starts again under its id has another."""
    return target if started_ms is None else f"{target}@{started_ms}"


@attrs.define(kw_only=True)
class CrashSuspects:
    """What is known of all VMs' requests; times are seconds of the monotonic clock."""

    _ends: dict[str, dict[str, End]] = attrs.field(factory=dict)

    @property
    def ends(self) -> Ends:
        """Every end that is remembered."""
        return self._ends

    def ended_under(self, fingerprint: str, process: str, end: End) -> bool:
        """Note that a process ended under a request; gives whether that is news.

        The same end is told by each VM that had the request there; the one where it had begun
        counts.
        """
        processes = self._ends.setdefault(fingerprint, {})
        known = processes.get(process)
        if known is not None and known.weight >= end.weight:
            return False
        processes[process] = end
        self._forget_beyond(MOST_KNOWN)
        return True

    def served(self, fingerprint: str) -> bool:
        """Note that a target has answered a request; gives whether ends are forgotten by it."""
        return self._ends.pop(fingerprint, None) is not None

    def count(self, fingerprint: str) -> int:
        """Give how many processes ended under a request."""
        return len(self._ends.get(fingerprint, ()))

    def kept(self) -> Ends:
        """Give the requests that are to outlive this VM."""
        return {
            fingerprint: processes
            for fingerprint, processes in self._ends.items()
            if len(processes) >= KEPT_FROM
        }

    def bar(self, fingerprint: str, now: float) -> Bar | None:
        """Give why a request is refused, or None where it may run."""
        processes = self._ends.get(fingerprint)
        if processes is None or _weight(processes) < MOST_ENDED:
            return None
        for_s = _last_at(processes) + BARRED_S - now
        return Bar(ended=len(processes), for_s=for_s) if for_s > 0 else None

    def expire(self, now: float) -> None:
        """Forget requests under which nothing has ended for long."""
        for fingerprint, processes in list(self._ends.items()):
            if now - _last_at(processes) > KEPT_S:
                del self._ends[fingerprint]

    def _forget_beyond(self, most: int) -> None:
        while len(self._ends) > most:
            least = min(self._ends, key=self._importance)
            del self._ends[least]

    def _importance(self, fingerprint: str) -> tuple[float, float]:
        processes = self._ends[fingerprint]
        return min(MOST_ENDED, _weight(processes)), _last_at(processes)


def _weight(processes: Mapping[str, End]) -> float:
    return sum(end.weight for end in processes.values())


def _last_at(processes: Mapping[str, End]) -> float:
    return max(end.at for end in processes.values())
