"""The rooms of the decisions import from each other as the developers' page says."""

from __future__ import annotations

import ast
from pathlib import Path

import lagoonlever.decisions

PACKAGE = "lagoonlever.decisions"
FOLDER = Path(lagoonlever.decisions.__file__).parent
PAGE = FOLDER.parent.parent / "docs" / "developers" / "index.md"


def _imports(room: Path) -> set[str]:
    """Give the other rooms that the modules of a room import from."""
    found: set[str] = set()
    for module in room.glob("*.py"):
        for node in ast.walk(ast.parse(module.read_text(encoding="utf-8"))):
            if isinstance(node, ast.ImportFrom) and (node.module or "").startswith(f"{PACKAGE}."):
                found.add((node.module or "").removeprefix(f"{PACKAGE}.").partition(".")[0])
    return found - {room.name}


def _rows(folder: str) -> list[list[str]]:
    """Read the table of a folder's rooms on the page."""
    _, _, rest = PAGE.read_text(encoding="utf-8").partition(f"### The rooms of `{folder}/`")
    section = rest.partition("###")[0]
    return [line.split("|") for line in section.splitlines() if line.startswith("| `")]


def _on_page() -> dict[str, set[str]]:
    """Give what each room of the decisions may import from."""
    return {
        row[1].strip(" `/"): {name.strip() for name in row[3].split(",")} - {"none"}
        for row in _rows("decisions")
    }


def test_each_room_imports_from_the_rooms_that_the_page_names():
    rooms = {room.name: _imports(room) for room in FOLDER.iterdir() if room.is_dir()}
    rooms.pop("__pycache__", None)
    assert rooms == _on_page()


def test_no_decision_stands_outside_a_room():
    assert [module.name for module in FOLDER.glob("*.py")] == ["__init__.py"]


def test_the_rooms_of_the_entry_daemon_are_on_the_page():
    rooms = {room.parent.name for room in (FOLDER.parent / "entry").glob("*/__init__.py")}
    assert rooms == {row[1].strip(" `/") for row in _rows("entry")}
