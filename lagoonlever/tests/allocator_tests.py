"""Whether memory that a process has freed goes back to the system."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

OWN_CODE = Path(__file__).parents[2]
MOST_KEPT_MB = 8
FREED_MB = 64

PROGRAM = """
from pathlib import Path
from lagoonlever.allocator import return_large_blocks

def resident_mb():
    status = Path("/proc/self/status").read_text()
    return int(status.split("VmRSS:")[1].split()[0]) // 1024

return_large_blocks()
del (bytearray(8 * 1024 * 1024))[:]
before = resident_mb()
blocks, small = [], []
for number in range({megabytes}):
    blocks.append(bytearray(b"x") * (1024 * 1024))
    small.append([object() for _ in range(500)])
held = resident_mb()
blocks.clear()
print(held - before, resident_mb() - before)
"""


def test_blocks_that_are_freed_between_small_ones_go_back() -> None:
    """Guards against a process that keeps what a crowd of large bodies has once made it hold."""
    command = [sys.executable, "-c", PROGRAM.format(megabytes=FREED_MB)]
    told = subprocess.run(command, cwd=OWN_CODE, check=True, capture_output=True, text=True)
    held_mb, kept_mb = map(int, told.stdout.split())
    assert held_mb >= FREED_MB
    assert kept_mb <= MOST_KEPT_MB
