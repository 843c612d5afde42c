"""What the soak holds against VMs whose runners tell of their needs."""

from __future__ import annotations

import attrs

from lagoonlever.fakes.target_words import TargetWords
from lagoonlever.soak.judge import Judge
from lagoonlever.soak.needs import MOST_IN_REST, NeedWatch


@attrs.define(kw_only=True)
class Watched:
    """A runner and what is held against its VMs."""

    says: TargetWords
    judge: Judge
    needs: NeedWatch

    @classmethod
    def of(cls, says: TargetWords, *, vms: int = 2, calm: bool = True) -> Watched:
        judge = Judge(organisation="org-1")
        needs = NeedWatch(
            target="r", judge=judge, says=says, vms=lambda: vms, calm_since=lambda since: calm
        )
        return cls(says=says, judge=judge, needs=needs)

    def promises(self) -> set[str]:
        return {violation.promise for violation in self.judge.violations}


def test_requests_of_vms_that_have_not_heard_of_a_rest_are_allowed() -> None:
    """Guards against a bound of none for runners that were started before the VMs."""
    watched = Watched.of(TargetWords(rest="3"))
    watched.needs.says_now(0.0, refused=True)
    for number in range(MOST_IN_REST * 2):
        watched.needs.arrived(0.6 + 0.1 * number)
    assert watched.promises() == set()
    watched.needs.arrived(2.0)
    assert watched.promises() == {"rests are kept"}


def test_a_limit_is_held_against_calm_vms_only() -> None:
    for calm, promises in ((True, {"limits are kept"}), (False, set())):
        watched = Watched.of(TargetWords(limit="2"), calm=calm)
        watched.needs.says_now(0.0, refused=False)
        for number in range(100):
            watched.needs.arrived(0.1 * number)
        assert watched.promises() == promises


def test_a_request_after_a_leave_in_an_answer_is_a_broken_promise() -> None:
    watched = Watched.of(TargetWords(leaving="1"))
    watched.needs.says_now(1.0, refused=False)
    watched.needs.arrived(2.9)
    assert watched.promises() == set()
    watched.needs.arrived(3.1)
    assert watched.promises() == {"leaving targets get no work"}
