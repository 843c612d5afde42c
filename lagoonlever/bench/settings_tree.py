"""What reading, checking and changing a large settings tree costs one VM."""

from __future__ import annotations

import random
import time
from collections.abc import Callable

import attrs
import json5

from lagoonlever.bench.report import column
from lagoonlever.tree.change_plan import ChangeRequest, HeadWrite, plan_change
from lagoonlever.tree.changes import Edit, value_at
from lagoonlever.tree.document import canonical, parse_canonical, read_text, render, tree_of
from lagoonlever.tree.head import Head, StoredHead, decode_head, pack_tree
from lagoonlever.tree.nodes import Node, Override, TreeView
from lagoonlever.tree.options import OptionValue

ORGANISATIONS = 200
TEAMS = ("desk", "batch", "clerks")
KEYS = 2
RECORDS = 50
REPEATS = 5
SAMPLE_TEAMS = 60
"""Organisations of the smaller text that the json5 library reads."""


@attrs.frozen(kw_only=True)
class TreeRow:
    """One figure of a large tree; times are processor time, the median of a few."""

    what: str = column("a tree of 801 nodes")
    amount: float = column("amount", digits=1)
    unit: str = column("unit")


def measure_tree(seed: int) -> tuple[TreeRow, ...]:
    """Measure sizes and times of a tree of 200 organisations."""
    tree = _tree(ORGANISATIONS, random.Random(seed))
    text, form = render(tree), canonical(tree)
    value = _with_records(Head(version=1, stored=StoredHead(text=text, tree=form, records=())))
    head = decode_head(value, version=RECORDS + 1)
    request = _request(head, ORGANISATIONS - 1)
    small = render(_tree(SAMPLE_TEAMS, random.Random(seed)))
    sizes = {
        "written text": text.encode(),
        "canonical form": form,
        "tree as VMs send it": pack_tree(form),
        f"stored value with {RECORDS} records": value,
    }
    times: dict[str, Callable[[], object]] = {
        "read the stored value": lambda: decode_head(value, version=1),
        "read the canonical form": lambda: parse_canonical(form, version=1),
        "plan a change of one option": lambda: plan_change(head, request, at_ms=0),
        f"read a text of {len(small) / 1000:.0f} kB, comments dropped": lambda: read_text(small),
        f"read a text of {len(small) / 1000:.0f} kB by json5": lambda: json5.loads(small),
    }
    size_rows = [
        TreeRow(what=what, amount=len(data) / 1000, unit="kB") for what, data in sizes.items()
    ]
    time_rows = [
        TreeRow(what=what, amount=_median_ms(action), unit="ms") for what, action in times.items()
    ]
    return (*size_rows, *time_rows)


def _tree(organisations: int, rng: random.Random) -> TreeView:
    nodes = []
    for index in range(organisations):
        keys = tuple(f"sha256:{rng.getrandbits(256):064x}" for _ in range(KEYS))
        path = f"/org-{index}"
        nodes.append(_node(path, rng, models=("alpha", "beta"), api_keys=keys))
        nodes += [_node(f"{path}/{team}", rng) for team in TEAMS]
    return tree_of(nodes)


def _node(path: str, rng: random.Random, **more: OptionValue) -> Node:
    stated: dict[str, OptionValue] = {
        "weight": rng.choice((1.0, 2.0, 3.5)),
        "priority": rng.randrange(100),
        "max_running": rng.randrange(500),
        "deadline_s": 60.0,
        **more,
    }
    overrides = (Override(option=name, value=stated[name]) for name in sorted(stated))
    return Node(path=path, overrides=tuple(overrides))


def _with_records(head: Head) -> bytes:
    """Give the stored value after as many changes, each of another organisation."""
    value = b""
    for index in range(RECORDS):
        write = plan_change(head, _request(head, index), at_ms=0)
        assert isinstance(write, HeadWrite)
        value = write.value
        head = decode_head(value, version=head.version + 1)
    return value


def _request(head: Head, index: int) -> ChangeRequest:
    path = f"/org-{index}"
    before = value_at(head.tree(), path, "weight")
    edit = Edit(path=path, option="weight", before=before, after=9.5)
    return ChangeRequest(
        change_id=f"{index:032x}",
        author="bench",
        base_version=head.version,
        edits=(edit,),
        note="a note of the usual length",
    )


def _median_ms(action: Callable[[], object]) -> float:
    times = []
    for _ in range(REPEATS):
        began = time.process_time()
        action()
        times.append(time.process_time() - began)
    return 1000 * sorted(times)[REPEATS // 2]
