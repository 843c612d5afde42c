"""Changes of the settings by racing operators, with lost and late answers."""

from __future__ import annotations

import attrs
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from lagoonlever.history.checkers.settings_in_force import check
from lagoonlever.history.events import HistoryEvent
from lagoonlever.history.events_settings import SettingsAccepted, SettingsWritten
from lagoonlever.tree.change_plan import ChangeRequest, Conflict, HeadWrite, Stored, plan_change
from lagoonlever.tree.changes import diff, value_at
from lagoonlever.tree.document import canonical, parse_text
from lagoonlever.tree.head import Head, decode_head, empty_head
from lagoonlever.tree.nodes import Node, Override, TreeView
from lagoonlever.tree.text_edit import edit_text

OPERATORS = ("ana", "budi")
PATHS = ("/motus", "/motus/desk")


@attrs.define(kw_only=True)
class PlatformModel:
    """The head's key: one revision a change, a swap that may be asked for late."""

    head: Head = attrs.field(factory=empty_head)
    up: bool = True
    revision: int = 10

    def swap(self, write: HeadWrite) -> bool:
        self.revision += 1
        if write.expected_version != self.head.version:
            return False
        self.head = decode_head(write.value, version=self.revision)
        return True


@attrs.define(kw_only=True)
class OperatorModel:
    """One operator with at most one change under way."""

    request: ChangeRequest | None = None
    write: HeadWrite | None = None


class ChangesMachine(RuleBasedStateMachine):
    """Two operators change few options of one head; answers are told, lost, or come late."""

    def __init__(self) -> None:
        super().__init__()
        self.changes = 0
        self.platform = PlatformModel()
        self.history: list[HistoryEvent] = []
        self.late_writes: list[tuple[ChangeRequest, HeadWrite]] = []
        self.operators = {name: OperatorModel() for name in OPERATORS}

    @rule(
        who=st.sampled_from(OPERATORS),
        path=st.sampled_from(PATHS),
        option=st.sampled_from(("weight", "priority")),
        value=st.one_of(st.none(), st.integers(1, 3)),
        whole_text=st.booleans(),
    )
    def decide(self, who: str, path: str, option: str, value: int | None, whole_text: bool) -> None:
        operator = self.operators[who]
        head = self.platform.head
        edits = diff(head.tree(), with_option(head.tree(), path, option, value))
        if operator.request is not None or not edits:
            return
        self.changes += 1
        operator.request = ChangeRequest(
            change_id=f"change-{self.changes}",
            author=who,
            base_version=head.version,
            edits=edits,
            text=edit_text(head.stored.text, edits) if whole_text else None,
        )

    @rule(who=st.sampled_from(OPERATORS), fate=st.sampled_from(("told", "lost", "late", "held")))
    def store(self, who: str, fate: str) -> None:
        operator = self.operators[who]
        if operator.request is None:
            return
        if operator.write is None:
            self._plan(operator)
        if fate != "held":
            self._write(operator, fate)

    @precondition(lambda self: self.late_writes)
    @rule(data=st.data())
    def late_write_arrives(self, data: st.DataObject) -> None:
        index = data.draw(st.integers(0, len(self.late_writes) - 1))
        self._swap(*self.late_writes.pop(index))

    def teardown(self) -> None:
        for request, write in self.late_writes:
            self._swap(request, write)
        for operator in self.operators.values():
            while operator.request is not None:
                self._plan(operator)
                self._write(operator, "told")
        assert check(self.history) == []

    def _plan(self, operator: OperatorModel) -> None:
        request = operator.request
        assert request is not None
        plan = plan_change(self.platform.head, request, at_ms=0)
        if isinstance(plan, HeadWrite):
            operator.write = plan
            return
        if isinstance(plan, Stored) and plan.made:
            self._accept(request, plan.version)
        operator.request = None

    def _write(self, operator: OperatorModel, fate: str) -> None:
        request, write = operator.request, operator.write
        operator.write = None
        if request is None or write is None:
            return
        if fate == "late":
            self.late_writes.append((request, write))
        elif self._swap(request, write) and fate == "told":
            self._accept(request, self.platform.head.version)
            operator.request = None

    def _swap(self, request: ChangeRequest, write: HeadWrite) -> bool:
        before = self.platform.head
        if not self.platform.swap(write):
            return False
        after = self.platform.head
        self.history.append(written(request, after.version, base=before.version))
        _assert_only_what_was_asked(before.tree(), after, request)
        return True

    def _accept(self, request: ChangeRequest, version: int) -> None:
        self.history.append(
            SettingsAccepted(
                at=float(self.platform.revision),
                process=request.author,
                version=version,
                change=request.change_id,
            )
        )


ChangesMachine.TestCase.settings = hypothesis_settings(
    max_examples=100, stateful_step_count=40, deadline=None
)
ChangesMachineTest = ChangesMachine.TestCase


def written(request: ChangeRequest, version: int, *, base: int) -> SettingsWritten:
    return SettingsWritten(
        at=float(version),
        process="platform",
        version=version,
        change=request.change_id,
        base_version=base,
    )


def with_option(tree: TreeView, path: str, option: str, value: int | None) -> TreeView:
    """Give the tree with one option stated, or its whole node removed for None below the root."""
    nodes = {node.path: node for node in tree.nodes}
    if value is None and path != "/" and not tree.children(path):
        nodes.pop(path, None)
    elif value is not None:
        if path == "/motus/desk":
            nodes.setdefault("/motus", Node(path="/motus"))
        node = nodes.get(path, Node(path=path))
        kept = [item for item in node.overrides if item.option != option]
        typed = float(value) if option == "weight" else value
        overrides = sorted([*kept, Override(option=option, value=typed)], key=lambda o: o.option)
        nodes[path] = Node(path=path, overrides=tuple(overrides))
    return TreeView(version=0, nodes=tuple(nodes[path] for path in sorted(nodes)))


def _assert_only_what_was_asked(before: TreeView, after: Head, request: ChangeRequest) -> None:
    tree = after.tree()
    asked = {edit.key: edit.after for edit in request.edits}
    for edit in diff(before, tree):
        assert edit.key in asked, f"{edit.key} was changed and nobody asked"
        assert edit.after == asked[edit.key]
    for edit in request.edits:
        found = value_at(before, edit.path, edit.option)
        assert found in (edit.before, edit.after), f"{edit.key} overwrites what nobody saw"
        assert value_at(tree, edit.path, edit.option) == edit.after


def _writes(*steps: tuple[ChangeRequest, HeadWrite]) -> list[HistoryEvent]:
    """Give the history of a platform that was sent these writes in order."""
    platform = PlatformModel()
    history: list[HistoryEvent] = []
    for request, write in steps:
        base = write.expected_version
        if platform.swap(attrs.evolve(write, expected_version=platform.head.version)):
            history.append(written(request, platform.head.version, base=base))
    return history


def test_a_lost_answer_is_found_out_and_never_repeated_over_a_later_change() -> None:
    """Story: an operator's change seems to fail, is sent again, and undoes a colleague's.

    Ana's write takes effect and its answer is lost. Budi changes the same weight.
    Ana's tool sends its write once more, blindly, over Budi's.
    """
    platform = PlatformModel()
    ana = _change("ana", platform.head, 3)
    first = plan_change(platform.head, ana, at_ms=0)
    assert isinstance(first, HeadWrite) and platform.swap(first)
    anas_version = platform.head.version
    budi = _change("budi", platform.head, 4)
    second = plan_change(platform.head, budi, at_ms=0)
    assert isinstance(second, HeadWrite) and platform.swap(second)

    blind = check(_writes((ana, first), (budi, second), (ana, first)))
    assert any("overwrites" in violation.message for violation in blind)
    assert any("made twice" in violation.message for violation in blind)
    assert not platform.swap(first)
    assert plan_change(platform.head, ana, at_ms=0) == Stored(version=anas_version, made=True)


def test_changes_of_one_option_are_a_conflict_and_of_two_options_are_merged() -> None:
    platform = PlatformModel()
    ana, budi = _change("ana", platform.head, 3), _change("budi", platform.head, 4)
    other = _change("citra", platform.head, 7, option="priority", path="/sembrani")
    first = plan_change(platform.head, ana, at_ms=0)
    assert isinstance(first, HeadWrite) and platform.swap(first)
    refused = plan_change(platform.head, budi, at_ms=0)
    assert isinstance(refused, Conflict)
    assert [conflict.key for conflict in refused.keys] == ["/motus.weight"]
    assert refused.version == platform.head.version
    merged = plan_change(platform.head, other, at_ms=0)
    assert isinstance(merged, HeadWrite) and merged.merged
    assert platform.swap(merged)
    assert platform.head.tree().node("/motus").get("weight") == 3
    assert platform.head.tree().node("/sembrani").get("priority") == 7


def test_a_node_removed_by_one_and_used_by_another_is_a_conflict_either_way() -> None:
    """Story: a desk is removed, and reappears with nothing but the option a colleague set.

    Ana removes the node while Budi states an option that it had not stated.
    """
    for first, second, key in (
        (None, 2, "/motus/desk.node"),
        (2, None, "/motus/desk.priority"),
    ):
        platform = PlatformModel()
        made = _change("citra", platform.head, 3, path="/motus/desk")
        write = plan_change(platform.head, made, at_ms=0)
        assert isinstance(write, HeadWrite) and platform.swap(write)
        seen = platform.head
        ana = _change("ana", seen, first, path="/motus/desk", option="priority")
        budi = _change("budi", seen, second, path="/motus/desk", option="priority")
        write = plan_change(seen, ana, at_ms=0)
        assert isinstance(write, HeadWrite) and platform.swap(write)
        refused = plan_change(platform.head, budi, at_ms=0)
        assert isinstance(refused, Conflict)
        assert key in [conflict.key for conflict in refused.keys]


def test_a_base_that_is_off_the_records_is_refused() -> None:
    platform = PlatformModel()
    old = _change("ana", platform.head, 3)
    for weight in range(1, 260):
        change = _change("budi", platform.head, weight)
        write = plan_change(platform.head, change, at_ms=0)
        assert isinstance(write, HeadWrite) and platform.swap(write)
    assert isinstance(plan_change(platform.head, old, at_ms=0), Conflict)


def _change(
    who: str, head: Head, value: int | None, *, option: str = "weight", path: str = "/motus"
) -> ChangeRequest:
    wanted = with_option(head.tree(), path, option, value)
    return ChangeRequest(
        change_id=f"{who}-{head.version}-{value}",
        author=who,
        base_version=head.version,
        edits=diff(head.tree(), wanted),
    )


def test_the_text_of_a_merged_change_still_reads_as_its_tree() -> None:
    platform = PlatformModel()
    text = '{\n  // ours\n  "/": {},\n  "/motus": {"weight": 2} // theirs\n}\n'
    write = plan_change(
        platform.head,
        ChangeRequest(change_id="a", author="ana", base_version=0, text=text),
        at_ms=0,
    )
    assert isinstance(write, HeadWrite) and platform.swap(write)
    late = _change("budi", empty_head(), 5, path="/sembrani", option="priority")
    merged = plan_change(platform.head, late, at_ms=0)
    assert isinstance(merged, HeadWrite) and platform.swap(merged)
    stored = platform.head.stored.text
    assert "// ours" in stored and "// theirs" in stored
    assert canonical(parse_text(stored)) == platform.head.stored.tree
