"""The settings tree: inheritance, checks, differences, and edits that keep comments."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lagoonlever.exceptions import FaultsError
from lagoonlever.tree.changes import NODE, Edit, apply, conflicts_of, diff
from lagoonlever.tree.document import canonical, parse_canonical, parse_text, render, tree_of
from lagoonlever.tree.nodes import Node, Override, TreeView, UnknownNode, lineage
from lagoonlever.tree.options import api_key_digest
from lagoonlever.tree.text_edit import edit_text

TEXT = """{ // the pool
  "/": {"weight": 1, "deadline_s": 60},
  "/motus": {
    "weight": 3, // agreed in May
    "models": ["alpha"],
    "api_keys": ["DIGEST"] /* rotated */
  },
  // dealers' questions
  "/motus/desk": {"priority": 5,},
  "/sembrani": {},
}
""".replace("DIGEST", api_key_digest("motus-key"))

LEAVES = ("/a", "/a/x", "/a/x/y", "/b", "/b/x")
OVERRIDES = st.fixed_dictionaries(
    {},
    optional={
        "weight": st.floats(0.5, 9),
        "priority": st.integers(0, 9),
        "models": st.lists(st.sampled_from("pqr"), max_size=2).map(tuple),
        "hedge_resumes": st.booleans(),
    },
)


@st.composite
def trees(draw: st.DrawFn) -> TreeView:
    paths = {at for leaf in draw(st.sets(st.sampled_from(LEAVES))) for at in lineage(leaf)}
    nodes = []
    for path in sorted(paths):
        stated = sorted(draw(OVERRIDES).items())
        overrides = tuple(Override(option=name, value=value) for name, value in stated)
        nodes.append(Node(path=path, overrides=overrides))
    return tree_of(nodes)


def test_a_node_inherits_what_it_does_not_override() -> None:
    tree = parse_text(TEXT)
    desk = tree.resolve("/motus/desk")
    assert (desk.weight, desk.deadline_s, desk.priority) == (3, 60, 5)
    assert desk.models == ("alpha",)
    assert desk.api_keys == ()
    assert tree.origin_of("/motus/desk", "weight") == "/motus"
    assert tree.origin_of("/motus/desk", "queue_bound") is None
    assert tree.organisation_of_key("motus-key") == "/motus"
    assert tree.organisation_of_key("another") is None
    assert tree.organisations == ("/motus", "/sembrani")
    assert tree.share_of("/motus/desk") == pytest.approx(0.75)
    with pytest.raises(UnknownNode):
        tree.resolve("/nobody")


def test_every_fault_is_told_by_path_and_name() -> None:
    text = """{"/": {"weigth": 2}, "/a": {"weight": "3", "max_tokens": 0}, "/b/c": {},
      "/K": {}, "/d": 4, "/e": {"api_keys": ["plain"]}, "/f": {"hedge_resumes": "soon"}}"""
    with pytest.raises(FaultsError) as told:
        parse_text(text)
    paths = [fault.path for fault in told.value.faults]
    assert set(paths) == {
        "/.weigth",
        "/a.weight",
        "/a.max_tokens",
        "/b/c",
        "/K",
        "/d",
        "/e.api_keys",
        "/f.hedge_resumes",
    }
    assert len(paths) == 8
    assert "did you mean 'weight'" in str(told.value)


@pytest.mark.parametrize("text", ["", "{", '{"/": {}, "/": {}}', "[]", '{"/a": {"weight": 1 2}}'])
def test_what_is_no_document_is_refused(text: str) -> None:
    with pytest.raises(FaultsError):
        parse_text(text)


def test_a_key_belongs_to_one_node() -> None:
    keys = f'{{"api_keys": ["{api_key_digest("one")}"]}}'
    with pytest.raises(FaultsError, match=r"/b\.api_keys: holds a key that '/a' holds too"):
        parse_text(f'{{"/a": {keys}, "/b": {keys}}}')


@given(tree=trees())
def test_the_canonical_form_and_the_written_form_keep_a_tree(tree: TreeView) -> None:
    assert parse_canonical(canonical(tree), version=tree.version) == tree
    assert parse_text(render(tree)) == tree


@given(old=trees(), new=trees())
def test_a_difference_applied_gives_the_other_tree_and_undone_the_first(
    old: TreeView, new: TreeView
) -> None:
    edits = diff(old, new)
    assert apply(old, edits) == new
    assert apply(new, [edit.inverted() for edit in edits]) == old
    assert conflicts_of(old, edits) == ()
    assert conflicts_of(new, edits) == ()


@given(old=trees(), new=trees())
def test_an_edited_text_says_what_was_wanted(old: TreeView, new: TreeView) -> None:
    assert parse_text(edit_text(render(old), diff(old, new))) == new


def test_an_edit_keeps_the_comments_of_the_text() -> None:
    edits = [
        Edit(path="/motus", option="weight", before=3.0, after=2.5),
        Edit(path="/motus/desk", option="priority", before=5, after=None),
        Edit(path="/sembrani/clerks", option="retry_budget", before=None, after=0.9),
    ]
    edited = edit_text(TEXT, edits)
    for comment in ("// the pool", "// agreed in May", "/* rotated */", "// dealers' questions"):
        assert comment in edited
    assert parse_text(edited) == apply(parse_text(TEXT), edits)


def test_a_conflict_names_the_key_that_someone_else_changed() -> None:
    seen = parse_text(TEXT)
    theirs = Edit(path="/motus", option="weight", before=3.0, after=4.0)
    mine = Edit(path="/motus", option="weight", before=3.0, after=5.0)
    other = Edit(path="/sembrani", option=NODE, before=True, after=None)
    now = apply(seen, [theirs])
    (conflict,) = conflicts_of(now, [mine, other])
    assert conflict.key == "/motus.weight"
    assert (conflict.expected, conflict.found, conflict.wanted) == (3.0, 4.0, 5.0)
