"""The exit codes of every command, for scripts."""

from __future__ import annotations

import enum


class ExitCode(enum.IntEnum):
    """What a command's end means; the codes of outcomes are those of ``lagoonlever ask``."""

    OK = 0
    FAULTS = 1
    """The input has faults, or a check found violations."""
    USAGE = 2
    """The command line itself is wrong."""
    UNREACHABLE = 3
    """A VM or the platform could not be reached, or answered what it must not."""
    NOT_RUN = 4
    """The request was not run, and that is proved."""
    UNKNOWN = 5
    """The request may have run; it will not be run again under its key."""
    FAILED = 6
    """The request ran, and failed."""
