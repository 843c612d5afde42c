"""``lagoonlever entry``: a VM that can't start says why, by the option to change."""

from __future__ import annotations

import json
import socket
import subprocess
import sys
from pathlib import Path

import pytest

from lagoonlever.commands.exit_codes import ExitCode

FREE = "127.0.0.1:0"
LIMIT_S = 60


@pytest.mark.parametrize("option", ["listen", "peer_listen"])
def test_a_taken_port_is_a_fault_of_its_option(tmp_path: Path, option: str) -> None:
    """An operator starts a VM whose port another process holds.

    It ended with a traceback of the libraries in place of the option's name.
    """
    file = tmp_path / "vm.json"
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))
        taken.listen()
        address = f"127.0.0.1:{taken.getsockname()[1]}"
        settings = {
            "name": "e1",
            "data_center": "dc-a",
            "listen": FREE,
            "peer_listen": FREE,
            "platform": {"addresses": ["127.0.0.1:1"]},
            option: address,
        }
        file.write_text(json.dumps(settings))
        done = subprocess.run(
            [sys.executable, "-m", "lagoonlever", "entry", "--settings", str(file)],
            capture_output=True,
            text=True,
            timeout=LIMIT_S,
            check=False,
        )
    assert done.returncode == ExitCode.FAULTS, done.stderr
    lines = done.stderr.splitlines()
    assert lines[-1].startswith(f"fault: {option}: {address} can't be listened on")
    assert "Traceback" not in done.stderr
