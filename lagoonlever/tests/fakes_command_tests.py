"""The stand-ins as processes: ready line, service, exit by signal and by a fault."""

from __future__ import annotations

import signal
import subprocess
import sys

import pytest
import trio

from lagoonlever.http.client import fetch
from lagoonlever.http.messages import Address

START = "from lagoonlever.commands.fake import app; app()"
READY = "listening on "


@pytest.mark.parametrize(
    ("command", "path"), [("engine", "/load"), ("application", "/load"), ("platform", "/calls")]
)
def test_a_stand_in_tells_its_address_and_exits_by_signal(command, path):
    process, address = start(command)
    try:
        response = trio.run(call, address, "GET", path, b"")
        assert response.status == 200
        process.send_signal(signal.SIGTERM)
        assert process.wait(timeout=30) == 0
    finally:
        process.kill()
        process.wait()


def test_a_fault_that_kills_ends_the_process():
    process, address = start("engine")
    try:
        trio.run(call, address, "POST", "/fault", b'{"kind":"die"}')
        assert process.wait(timeout=30) == 1
    finally:
        process.kill()
        process.wait()


def start(command):
    process = subprocess.Popen(
        [sys.executable, "-c", START, command], stdout=subprocess.PIPE, text=True
    )
    line = process.stdout.readline().strip()
    assert line.startswith(READY)
    return process, Address.parse(line.removeprefix(READY))


async def call(address, method, path, body):
    return await fetch(address, method=method, path=path, body=body, step="test", timeout_s=30)
