"""``lagoonlever check``: what an operator sees and the exit code that a script sees."""

from __future__ import annotations

from pathlib import Path

import typer
from typer.testing import CliRunner

from lagoonlever.commands.check import check
from lagoonlever.commands.exit_codes import ExitCode

APP = typer.Typer()
APP.command()(check)

FILE = """{
  "name": "e1", // the comment stays
  "data_center": "dc-a",
  "listen": "127.0.0.1:8080",
  "peer_listen": "127.0.0.1:8081",
  "platform": {"addresses": ["127.0.0.1:2379"]},
}"""


def _check(folder: Path, text: str, *options: str) -> tuple[int, str]:
    file = folder / "vm.json"
    file.write_text(text, encoding="utf-8")
    result = CliRunner().invoke(APP, [str(file), *options])
    return result.exit_code, result.output


def test_warnings_pass_unless_the_check_is_strict(tmp_path: Path) -> None:
    code, output = _check(tmp_path, FILE)
    assert code == ExitCode.OK
    assert "warning: seeds:" in output
    code, output = _check(tmp_path, FILE, "--strict")
    assert code == ExitCode.FAULTS
    assert "in order" not in output


def test_each_fault_is_a_line_that_names_its_option(tmp_path: Path) -> None:
    wrong = FILE.replace("8081", "8080").replace('"data_center"', '"data_centre"')
    code, output = _check(tmp_path, wrong)
    assert code == ExitCode.FAULTS
    paths = [line.split(": ")[1] for line in output.splitlines()]
    assert sorted(paths) == ["data_center", "data_centre", "peer_listen"]


PLATFORM_FILE = """# written by the platform
Node=front-1
Zone=dc-a
Listen.Front=10.0.0.1:8740
Listen.Control=10.0.0.1:8748
Platform.Address=10.0.0.9:8742
"""


def test_a_file_of_the_platform_is_known_by_its_format(tmp_path: Path) -> None:
    code, output = _check(tmp_path, PLATFORM_FILE)
    assert code == ExitCode.OK, output
    assert "for a gateway" in output


def test_all_faults_of_a_file_of_the_platform_are_told_together(tmp_path: Path) -> None:
    text = PLATFORM_FILE.replace("Zone=dc-a\n", "").replace("10.0.0.9:8742", "somewhere")
    code, output = _check(tmp_path, text)
    assert code == ExitCode.FAULTS
    assert "Zone: is required" in output
    assert "Platform.Address: is 'somewhere'" in output
