"""How often callers of each kind, organisation, rank and subject were served, and why not."""

from __future__ import annotations

import re
from collections import Counter
from collections.abc import Iterator

import attrs

LEAST_ASKED = 20
"""Requests of a kind, an organisation or a rank that tell how often it is served."""
LEAST_ASKED_ON = 4
"""Streams on a subject that tell whether it is served at all."""
LEAST_ASKED_FOR_S = 8.0
"""From the first of these to the last."""
MOST_STARVED, MOST_STARVED_SHARE = 2, 0.04
"""Subjects of which none is served: so many, and so many of all."""
MOST_BEYOND_CHANCE = 3.0
"""Of the subjects that chance alone would leave without any answer."""
LEAST_SHARE = 0.25
"""Of how often all are served: who is below it is starved."""
CLOSED = "closed"
"""The reason of a request whose connection ended without an answer."""
OUT_OF_TIME = "its caller's time was over"

_FIGURES = re.compile(r"\S*\d\S*")


@attrs.frozen(kw_only=True)
class Asked:
    """What a caller has asked for; calls have neither a rank nor a subject."""

    kind: str
    organisation: str
    rank: str | None = None
    subject: str | None = None


@attrs.frozen(kw_only=True)
class Refusal:
    """One try that got no whole answer: why, and of which VM."""

    asked: Asked
    vm: str
    reason: str


@attrs.define(kw_only=True)
class _Count:
    asked: int = 0
    served: int = 0

    @property
    def share(self) -> float:
        return self.served / max(1, self.asked)

    def add(self, *, whole: bool) -> None:
        self.asked += 1
        self.served += whole


@attrs.define(kw_only=True)
class _Subject:
    first_at: float
    last_at: float
    count: _Count = attrs.field(factory=_Count)

    @property
    def is_judged(self) -> bool:
        return self.count.asked >= LEAST_ASKED_ON and (
            self.last_at - self.first_at >= LEAST_ASKED_FOR_S
        )


@attrs.define(kw_only=True, eq=False)
class ServedBook:
    """Counts the requests of callers that stayed, and all tries that failed."""

    _counts: dict[str, dict[str, _Count]] = attrs.field(factory=dict)
    """By what they are counted by, and its value."""
    _all: _Count = attrs.field(factory=_Count)
    _subjects: dict[tuple[str, str], _Subject] = attrs.field(factory=dict)
    """By kind of request and subject."""
    _refusals: Counter[Refusal] = attrs.field(factory=Counter)

    def record(self, asked: Asked, now: float, *, whole: bool) -> None:
        """Record whether a request was served, by its last try."""
        self._all.add(whole=whole)
        for label, value in _labels(asked):
            self._counts.setdefault(label, {}).setdefault(value, _Count()).add(whole=whole)
        if asked.subject is None:
            return
        key = (asked.kind, asked.subject)
        subject = self._subjects.setdefault(key, _Subject(first_at=now, last_at=now))
        subject.last_at = now
        subject.count.add(whole=whole)

    def refuse(self, refusal: Refusal) -> None:
        """Record a try that failed."""
        self._refusals[refusal] += 1

    def starved(self) -> Iterator[tuple[str, str]]:
        """Yield each promise that was broken, and how it showed."""
        for label, values in sorted(self._counts.items()):
            compared = self._streams if label == "rank" else self._all
            for value, count in sorted(values.items()):
                if count.asked >= LEAST_ASKED and count.share < LEAST_SHARE * compared.share:
                    detail = f"{value}: {count.share:.0%} of {count.asked} were served,"
                    yield f"every {label} is served", f"{detail} {compared.share:.0%} of all"
        yield from self._starved_subjects()

    def served_by_rank(self) -> dict[str, int]:
        """Return how many streams of each rank were served."""
        return {rank: count.served for rank, count in self._counts.get("rank", {}).items()}

    def summary(self) -> list[str]:
        """Return lines that tell how often each was served, and who was refused for what."""
        lines = [
            f"{label} {value}: {count.served} of {count.asked} served"
            for label, values in sorted(self._counts.items())
            for value, count in sorted(values.items())
        ]
        never = [
            f"{kind} on {subject}"
            for (kind, subject), seen in sorted(self._subjects.items())
            if seen.is_judged and not seen.count.served
        ]
        lines.append(f"never served: {', '.join(never) or 'none'}")
        for reason, total in self._by_reason().most_common():
            lines.append(f"refused {total} times: {reason}")
            lines += [f"  by {label}: {_listed(told)}" for label, told in self._told(reason)]
        return lines

    @property
    def _streams(self) -> _Count:
        ranks = self._counts.get("rank", {}).values()
        return _Count(
            asked=sum(each.asked for each in ranks), served=sum(each.served for each in ranks)
        )

    def _starved_subjects(self) -> Iterator[tuple[str, str]]:
        judged = {key: seen for key, seen in self._subjects.items() if seen.is_judged}
        never = sorted(key for key, seen in judged.items() if not seen.count.served)
        kinds = self._counts.get("kind", {})
        by_chance = sum(
            (1.0 - kinds[kind].share) ** seen.count.asked for (kind, _), seen in judged.items()
        )
        most = MOST_STARVED + MOST_STARVED_SHARE * len(judged)
        if len(never) > max(most, MOST_BEYOND_CHANCE * by_chance):
            named = ", ".join(f"{kind} on {subject}" for kind, subject in never[:5])
            detail = f"{len(never)} of {len(judged)} were never served, by chance {by_chance:.1f}"
            yield "every subject is served", f"{detail}: {named}"

    def _by_reason(self) -> Counter[str]:
        totals: Counter[str] = Counter()
        for refusal, times in self._refusals.items():
            totals[refusal.reason] += times
        return totals

    def _told(self, reason: str) -> Iterator[tuple[str, Counter[str]]]:
        """Yield who was refused for a reason, by each thing that requests are counted by."""
        told: dict[str, Counter[str]] = {}
        for refusal, times in self._refusals.items():
            if refusal.reason != reason:
                continue
            for label, value in (*_labels(refusal.asked), ("VM", refusal.vm)):
                told.setdefault(label, Counter())[value] += times
            if refusal.asked.subject is not None:
                told.setdefault("subject", Counter())[refusal.asked.subject] += times
        yield from sorted(told.items())


def reason_of(status: int, reason: str | None, message: str) -> str:
    """Return the reason of a refusal without the figures and names that differ each time."""
    plain = _FIGURES.sub("#", message)
    return f"{status} {reason or 'of its target'}: {plain}".rstrip(": ")


def _labels(asked: Asked) -> tuple[tuple[str, str], ...]:
    labels = (("kind", asked.kind), ("organisation", asked.organisation))
    return labels if asked.rank is None else (*labels, ("rank", asked.rank))


def _listed(told: Counter[str]) -> str:
    return ", ".join(f"{value} {times}" for value, times in told.most_common(12))
