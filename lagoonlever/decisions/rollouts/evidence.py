"""What the answers of a new version say of it, beside those of the old one in the same time.

The load that is answered: a few dozen answers, spread over many VMs, must tell a version that
fails or delays a part of them from a sound one, while engines crash and answers are lost for
reasons that are no version's doing. So the old version's answers of the same second are the
measure, and the test goes on until it is sure: Wald's sequential probability ratio test
(A. Wald, Sequential Tests of Statistical Hypotheses, 1945), for each kind of request and over
all.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping

import attrs

FIRST_BOUND_S = 0.004
BOUND_RATIO = 1.5
BOUNDS = 24
"""Classes of duration, each 1.5 times the one before: from 4 ms to 45 s."""
SLOW_CLASSES = 3
"""An answer so many classes beyond the old version's median counts as bad: 2.3 to 5 times it."""
WORSE_BY = 0.25
"""The share of bad answers beyond the old version's that a bad version has at least."""
CALLED_BAD_WRONGLY = 0.002
CALLED_SOUND_WRONGLY = 0.01
MOST_BAD = 0.9
"""The share of bad answers that is taken for a bad version's, where the old one's is large too."""
LEAST_BAD = 0.01
"""The share of bad answers that even a sound version has."""
LEANS = math.log(10.0)
"""From here on the answers are ten times likelier of one than of the other."""
WEIGHT_OF_ALL = 6.0
"""How many answers the old version's share over all seconds counts for beside those of one."""


def duration_class(seconds: float) -> int:
    """Give the class of a duration."""
    if seconds <= FIRST_BOUND_S:
        return 0
    return min(BOUNDS - 1, math.ceil(math.log(seconds / FIRST_BOUND_S, BOUND_RATIO)))


@attrs.frozen(kw_only=True)
class AnswerCounts:
    """Answers of one kind of request by one version; ``classes`` counts good ones by duration."""

    failed: int = 0
    classes: tuple[int, ...] = (0,) * BOUNDS

    @property
    def total(self) -> int:
        """All answers."""
        return self.failed + sum(self.classes)

    def with_failure(self) -> AnswerCounts:
        """Give the counts with one more failure."""
        return attrs.evolve(self, failed=self.failed + 1)

    def with_answer(self, seconds: float) -> AnswerCounts:
        """Give the counts with one more good answer."""
        classes = list(self.classes)
        classes[duration_class(seconds)] += 1
        return attrs.evolve(self, classes=tuple(classes))

    def plus(self, other: AnswerCounts) -> AnswerCounts:
        """Give the sum of two counts."""
        both = zip(self.classes, other.classes, strict=True)
        return AnswerCounts(
            failed=self.failed + other.failed, classes=tuple(a + b for a, b in both)
        )

    def median_class(self) -> int | None:
        """Give the class of the median good answer."""
        half, seen = sum(self.classes) / 2, 0
        for number, count in enumerate(self.classes):
            seen += count
            if seen and seen >= half:
                return number
        return None

    def count_bad(self, median: int | None) -> int:
        """Give how many failed, or took far longer than a median."""
        if median is None:
            return self.failed
        return self.failed + sum(self.classes[median + SLOW_CLASSES :])


@attrs.frozen(kw_only=True)
class AnswersBySecond:
    """Answers of one kind of request by one version, by the second in which they were known."""

    counts: Mapping[int, AnswerCounts] = attrs.field(factory=dict)

    @property
    def total(self) -> AnswerCounts:
        """The counts of all seconds."""
        total = AnswerCounts()
        for counts in self.counts.values():
            total = total.plus(counts)
        return total


@attrs.frozen(kw_only=True)
class Judgement:
    """What the answers say: logarithms of how much likelier they are of a bad version."""

    total_log_ratio: float
    worst_log_ratio: float
    """Of the kind of request that speaks most against it."""

    @property
    def is_bad(self) -> bool:
        """Whether the test is sure that the version is bad."""
        bad_from = math.log((1 - CALLED_SOUND_WRONGLY) / CALLED_BAD_WRONGLY)
        return max(self.total_log_ratio, self.worst_log_ratio) >= bad_from

    @property
    def is_sound(self) -> bool:
        """Whether the test is sure that it is sound, and no kind of request leans to bad."""
        sound_from = math.log(CALLED_SOUND_WRONGLY / (1 - CALLED_BAD_WRONGLY))
        return self.total_log_ratio <= sound_from and self.worst_log_ratio < 0.0

    @property
    def is_likely_sound(self) -> bool:
        """Whether it is likely to be sound."""
        return self.total_log_ratio <= -LEANS and self.worst_log_ratio < LEANS / 2


NO_EVIDENCE = Judgement(total_log_ratio=0.0, worst_log_ratio=0.0)


def log_likelihood_ratio(new: AnswersBySecond, old: AnswersBySecond) -> float:
    """Give the logarithm of how much likelier one kind's answers are of a bad version."""
    all_old = old.total
    median = all_old.median_class()
    usual = (all_old.count_bad(median) + 0.5) / (all_old.total + 10.0)
    ratio = 0.0
    for second, answers in new.counts.items():
        beside = old.counts.get(second, AnswerCounts())
        bad_beside = beside.count_bad(median) + WEIGHT_OF_ALL * usual
        sound = max(LEAST_BAD, bad_beside / (beside.total + WEIGHT_OF_ALL))
        worse = min(MOST_BAD, sound + WORSE_BY)
        bad = answers.count_bad(median)
        ratio += bad * math.log(worse / sound)
        ratio += (answers.total - bad) * math.log((1 - worse) / (1 - sound))
    return ratio


def judge(kinds: Iterable[tuple[AnswersBySecond, AnswersBySecond]]) -> Judgement:
    """Judge a version by pairs of its answers and the old one's, one of each kind of request."""
    ratios = [log_likelihood_ratio(new, old) for new, old in kinds if new.counts]
    if not ratios:
        return NO_EVIDENCE
    return Judgement(total_log_ratio=sum(ratios), worst_log_ratio=max(ratios))
