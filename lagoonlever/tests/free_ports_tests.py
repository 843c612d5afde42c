"""Addresses of tests in several processes at once: two runs, or a run by hand beside CI."""

from __future__ import annotations

import subprocess
import sys

from lagoonlever.tests.free_ports import free_address

ADDRESSES = 20
PROCESSES = 3
TAKE_SOME = f"""
from lagoonlever.tests.free_ports import free_address
print(*(free_address().port for _ in range({ADDRESSES})), flush=True)
input()
"""


def test_processes_that_run_at_the_same_time_share_no_ports() -> None:
    """Each was given the same ports, and a server of one ran into one of the other's."""
    taken = [{free_address().port for _ in range(ADDRESSES)}]
    others = [
        subprocess.Popen(
            [sys.executable, "-c", TAKE_SOME],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        for _ in range(PROCESSES)
    ]
    for other in others:
        assert other.stdout is not None
        taken.append({int(port) for port in other.stdout.readline().split()})
    for other in others:
        other.communicate("\n")
    assert [len(ports) for ports in taken] == [ADDRESSES] * (1 + PROCESSES)
    assert len(set().union(*taken)) == ADDRESSES * (1 + PROCESSES)


def test_an_address_is_given_again_only_after_many_others() -> None:
    """A server that a test has ended may still be asked for a moment."""
    ports = [free_address().port for _ in range(200)]
    assert len(set(ports)) == len(ports)
