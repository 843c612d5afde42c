"""Settings of the C library's allocator, for processes that run long and hold large blocks."""

from __future__ import annotations

import ctypes

M_TRIM_THRESHOLD = -1
M_MMAP_THRESHOLD = -3
MAPPED_BYTES = 128 * 1024
"""Blocks of this size and more are maps of their own, which go back to the system when freed."""
TRIM_BYTES = 1024 * 1024
"""Free memory at the end of the heap that is kept, so that it does not shrink and grow by turns."""


def return_large_blocks() -> None:
    """Have freed large blocks go back to the system; no effect where it is not GNU's C library.

    Without this the library raises the size of what is a map of its own with each one that is
    freed, up to 32 MiB: larger blocks then leave holes in the heap, which the process keeps.
    """
    library = ctypes.CDLL(None)
    try:
        mallopt = library.mallopt
    except AttributeError:
        return
    mallopt(M_MMAP_THRESHOLD, MAPPED_BYTES)
    mallopt(M_TRIM_THRESHOLD, TRIM_BYTES)
