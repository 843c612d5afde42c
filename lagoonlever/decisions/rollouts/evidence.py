"""Statistical test of a new version's answers against those of the old version.

A few dozen answers, spread over many VMs, must distinguish a version that fails or delays some of
them from a sound one, while engines crash and answers are lost for reasons unrelated to the
version. The new version's answers are therefore compared with the old version's of the same
second, and the test continues until its error probabilities are met: Wald's sequential probability
ratio test (A. Wald, Sequential Tests of Statistical Hypotheses, 1945), for each kind of request
and for all kinds together.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping

import attrs

FIRST_BOUND_S = 0.004
BOUND_RATIO = 1.5
DURATION_CLASSES = 24
"""Number of duration classes. Upper bounds grow by a factor of 1.5, from 4 ms to 45 s."""
SLOW_CLASS_DISTANCE = 3
"""An answer at least this many classes above the old median (2.3 to 5 times it) counts as bad."""
MIN_EXCESS_BAD_SHARE = 0.25
"""A bad version is assumed to have a share of bad answers this much above the old version's."""
FALSE_BAD_PROBABILITY = 0.002
"""Accepted probability that a sound version is judged bad."""
FALSE_SOUND_PROBABILITY = 0.01
"""Accepted probability that a bad version is judged sound."""
MAX_BAD_SHARE = 0.9
"""Upper limit of the assumed share of a bad version, reached if the old version's is large too."""
MIN_BAD_SHARE = 0.01
"""Lower limit of the share of bad answers that is assumed for a sound version."""
LIKELY_LOG_RATIO = math.log(10.0)
"""At this log ratio the answers are ten times likelier under one hypothesis than the other."""
OVERALL_SHARE_WEIGHT = 6.0
"""Weight, in answers, of the old version's overall bad share when added to those of one second."""


def duration_class(seconds: float) -> int:
    """Return the class of a duration, from 0 to ``DURATION_CLASSES - 1``."""
    if seconds <= FIRST_BOUND_S:
        return 0
    return min(DURATION_CLASSES - 1, math.ceil(math.log(seconds / FIRST_BOUND_S, BOUND_RATIO)))


@attrs.frozen(kw_only=True)
class AnswerCounts:
    """Counts of one version's answers to one kind of request.

    ``classes`` holds the number of good answers in each duration class.
    """

    failed: int = 0
    classes: tuple[int, ...] = (0,) * DURATION_CLASSES

    @property
    def total(self) -> int:
        """Number of all answers, failed and good."""
        return self.failed + sum(self.classes)

    def with_failure(self) -> AnswerCounts:
        """Return the counts with one more failure."""
        return attrs.evolve(self, failed=self.failed + 1)

    def with_answer(self, seconds: float) -> AnswerCounts:
        """Return the counts with one more good answer that took ``seconds``."""
        classes = list(self.classes)
        classes[duration_class(seconds)] += 1
        return attrs.evolve(self, classes=tuple(classes))

    def plus(self, other: AnswerCounts) -> AnswerCounts:
        """Return the sum of two counts."""
        both = zip(self.classes, other.classes, strict=True)
        return AnswerCounts(
            failed=self.failed + other.failed, classes=tuple(a + b for a, b in both)
        )

    def median_class(self) -> int | None:
        """Return the duration class of the median good answer, or None without good answers."""
        half, seen = sum(self.classes) / 2, 0
        for number, count in enumerate(self.classes):
            seen += count
            if seen and seen >= half:
                return number
        return None

    def count_bad(self, median: int | None) -> int:
        """Return the number of failed answers and of those far slower than the class ``median``.

        Without a median only failures count.
        """
        if median is None:
            return self.failed
        return self.failed + sum(self.classes[median + SLOW_CLASS_DISTANCE :])


@attrs.frozen(kw_only=True)
class AnswersBySecond:
    """Counts of one version's answers to one kind of request, by the second of their report."""

    counts: Mapping[int, AnswerCounts] = attrs.field(factory=dict)

    @property
    def total(self) -> AnswerCounts:
        """Sum of the counts of all seconds."""
        total = AnswerCounts()
        for counts in self.counts.values():
            total = total.plus(counts)
        return total


@attrs.frozen(kw_only=True)
class Judgement:
    """Result of the test, as log likelihood ratios of a bad version to a sound one."""

    total_log_ratio: float
    worst_log_ratio: float
    """Ratio of the kind of request with the strongest evidence against the version."""

    @property
    def is_bad(self) -> bool:
        """Whether the test has concluded that the version is bad."""
        bad_threshold = math.log((1 - FALSE_SOUND_PROBABILITY) / FALSE_BAD_PROBABILITY)
        return max(self.total_log_ratio, self.worst_log_ratio) >= bad_threshold

    @property
    def is_sound(self) -> bool:
        """Whether the test has concluded that the version is sound.

        No kind of request may have evidence that points to a bad version.
        """
        sound_threshold = math.log(FALSE_SOUND_PROBABILITY / (1 - FALSE_BAD_PROBABILITY))
        return self.total_log_ratio <= sound_threshold and self.worst_log_ratio < 0.0

    @property
    def is_likely_sound(self) -> bool:
        """Whether the version is probably sound, though the test may not have concluded."""
        return (
            self.total_log_ratio <= -LIKELY_LOG_RATIO
            and self.worst_log_ratio < LIKELY_LOG_RATIO / 2
        )


NO_EVIDENCE = Judgement(total_log_ratio=0.0, worst_log_ratio=0.0)


def log_likelihood_ratio(new: AnswersBySecond, old: AnswersBySecond) -> float:
    """Return the log likelihood ratio (bad to sound) of the answers to one kind of request."""
    old_total = old.total
    median = old_total.median_class()
    overall_bad_share = (old_total.count_bad(median) + 0.5) / (old_total.total + 10.0)
    ratio = 0.0
    for second, answers in new.counts.items():
        old_answers = old.counts.get(second, AnswerCounts())
        old_bad = old_answers.count_bad(median) + OVERALL_SHARE_WEIGHT * overall_bad_share
        sound_share = max(MIN_BAD_SHARE, old_bad / (old_answers.total + OVERALL_SHARE_WEIGHT))
        bad_share = min(MAX_BAD_SHARE, sound_share + MIN_EXCESS_BAD_SHARE)
        bad_answers = answers.count_bad(median)
        ratio += bad_answers * math.log(bad_share / sound_share)
        ratio += (answers.total - bad_answers) * math.log((1 - bad_share) / (1 - sound_share))
    return ratio


def judge(kinds: Iterable[tuple[AnswersBySecond, AnswersBySecond]]) -> Judgement:
    """Judge a version by pairs of its answers and the old version's, one pair for each kind."""
    ratios = [log_likelihood_ratio(new, old) for new, old in kinds if new.counts]
    if not ratios:
        return NO_EVIDENCE
    return Judgement(total_log_ratio=sum(ratios), worst_log_ratio=max(ratios))
