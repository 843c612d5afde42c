"""Logs never make a process wait, whatever their reader does."""

from __future__ import annotations

import os
import time

import logbook

from lagoonlever.log_writer import BoundedHandler, LineBudget, LineWriter

LINE = b"x" * 99 + b"\n"


def test_a_reader_that_stops_costs_lines_and_no_time() -> None:
    """The collector of a VM's log hangs: its pipe is full, and the VM must serve on."""
    reader, end = os.pipe()
    writer = LineWriter(fd=end, buffer_bytes=10_000)
    started = time.monotonic()
    for _ in range(20_000):
        writer.write(LINE)
    assert time.monotonic() - started < 5.0
    assert writer.dropped > 0
    assert writer.waiting_bytes <= 10_000
    os.close(reader)
    os.close(end)


def test_lines_come_whole_and_in_order_to_a_slow_reader() -> None:
    reader, end = os.pipe()
    writer = LineWriter(fd=end, buffer_bytes=1_000_000)
    lines = [f"{number}\n".encode() * 1 for number in range(30_000)]
    got = b""
    for number, line in enumerate(lines):
        assert writer.write(line)
        if number % 1_000 == 0:
            got += os.read(reader, 3_000)
    os.set_blocking(reader, False)
    while writer.waiting_bytes:
        writer.flush()
        got += os.read(reader, 65_536)
    while len(got) < sum(map(len, lines)):
        got += os.read(reader, 65_536)
    assert got == b"".join(lines)
    os.close(reader)
    os.close(end)


def test_a_reader_that_is_gone_is_no_error() -> None:
    reader, end = os.pipe()
    os.close(reader)
    writer = LineWriter(fd=end)
    writer.write(LINE)
    assert writer.dropped == 1 and not writer.waiting_bytes
    os.close(end)


def test_detail_beyond_the_budget_is_dropped_and_warnings_are_not() -> None:
    reader, end = os.pipe()
    writer = LineWriter(fd=end)
    handler = BoundedHandler(
        writer=writer,
        formatter=lambda record, _: record.message,
        level="INFO",
        clock=lambda: 0.0,
    )
    logger = logbook.Logger("test")
    with handler.applicationbound():
        for _ in range(3_000):
            logger.info("detail")
        logger.warning("trouble")
    assert handler.lost > 1_000
    assert os.read(reader, 1_000_000).endswith(b"trouble\n")
    os.close(reader)
    os.close(end)


def test_the_budget_refills() -> None:
    budget = LineBudget(per_s=10.0, tokens=10.0)
    assert sum(budget.take(0.0) for _ in range(50)) == 10
    assert sum(budget.take(1.0) for _ in range(50)) == 10
