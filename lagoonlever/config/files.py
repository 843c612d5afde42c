"""Settings files: JSON with comments, read into a checked section."""

from __future__ import annotations

from pathlib import Path
from typing import TypeVar

import json5

from lagoonlever.config.options import load
from lagoonlever.exceptions import Fault, FaultsError

T = TypeVar("T")


def read_document(file: Path) -> object:
    """Parse a file of JSON with comments; raises ``FaultsError`` with the line."""
    try:
        text = file.read_text(encoding="utf-8")
    except OSError as error:
        raise _file_fault(
            file, f"cannot be read ({error.strerror}); give a readable file"
        ) from error
    except UnicodeDecodeError as error:
        raise _file_fault(file, "is not UTF-8; save it as UTF-8") from error
    try:
        return json5.loads(text, allow_duplicate_keys=False)
    except ValueError as error:
        raise _file_fault(file, f"is not JSON with comments: {error}") from error


def load_file(cls: type[T], file: Path) -> T:
    """Read a settings file into a section; raises ``FaultsError`` with every fault."""
    return load(cls, read_document(file))


def _file_fault(file: Path, message: str) -> FaultsError:
    return FaultsError([Fault(path=str(file), message=message)])
