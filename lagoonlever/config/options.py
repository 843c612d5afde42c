"""Typed options that check themselves: an attrs class is the one declaration of a section.

``option`` declares a field with its bounds and its documentation; ``load`` reads
a parsed document into such a class and gathers every fault, told by its path.
Sections may stand in lists, tuples, maps by name, and be optional. A section may
have a static method ``faults_between(values)`` that gives the faults that show only
between its options; it gets those options that are given and right by themselves.
"""

from __future__ import annotations

import difflib
import types
import typing
from collections.abc import Callable
from typing import Any, TypeVar, get_type_hints

import attrs
import msgspec

from lagoonlever.exceptions import Fault, FaultsError

T = TypeVar("T")
Check = Callable[[Any], str | None]
"""Gives what is wrong with a value and what to change, or None."""

_SPEC = "lagoonlever.option"


@attrs.frozen(kw_only=True)
class OptionSpec:
    """The bounds and the documentation of one option."""

    doc: str
    at_least: float | None = None
    at_most: float | None = None
    one_of: tuple[str, ...] = ()
    check: Check | None = None

    def fault_of(self, value: Any) -> str | None:
        """Tell what is wrong with a value of the right type, or None."""
        if value is None:
            return None
        if self.at_least is not None and value < self.at_least:
            return f"is {value!r}; give at least {self.at_least:g}"
        if self.at_most is not None and value > self.at_most:
            return f"is {value!r}; give at most {self.at_most:g}"
        if self.one_of and value not in self.one_of:
            return f"is {value!r}; give one of: {', '.join(self.one_of)}"
        return self.check(value) if self.check else None


def option(
    *,
    doc: str,
    default: Any = attrs.NOTHING,
    factory: Callable[[], Any] | None = None,
    at_least: float | None = None,
    at_most: float | None = None,
    one_of: tuple[str, ...] = (),
    check: Check | None = None,
) -> Any:
    """Declare an option as a field of an attrs class; without a default it is required."""
    spec = OptionSpec(doc=doc, at_least=at_least, at_most=at_most, one_of=one_of, check=check)
    if factory is not None:
        return attrs.field(factory=factory, metadata={_SPEC: spec})
    return attrs.field(default=default, metadata={_SPEC: spec})


def spec_of(field: attrs.Attribute[Any]) -> OptionSpec:
    """Give the declaration of an option's field."""
    spec = field.metadata.get(_SPEC)
    return spec if isinstance(spec, OptionSpec) else OptionSpec(doc="")


def load(cls: type[T], document: object, *, path: str = "") -> T:
    """Read a parsed document into a section; raises ``FaultsError`` with every fault."""
    faults: list[Fault] = []
    value: T = _load_section(cls, document, path, faults)
    if faults:
        raise FaultsError(faults)
    return value


def _load_section(cls: type[Any], document: object, path: str, faults: list[Fault]) -> Any:
    if not isinstance(document, dict):
        faults.append(Fault(path=path or "document", message="give an object of options"))
        return None
    fields = {field.name: field for field in attrs.fields(cls)}
    _check_names(fields.keys(), document, path, faults)
    hints = get_type_hints(cls)
    values: dict[str, Any] = {}
    for name, field in fields.items():
        here = _join(path, name)
        if name not in document:
            if field.default is attrs.NOTHING:
                faults.append(Fault(path=here, message="is required; add it"))
            continue
        known = len(faults)
        value = _load_option(hints[name], field, document[name], here, faults)
        if len(faults) == known:
            values[name] = value
    faults.extend(_faults_between(cls, values, path))
    return None if faults else cls(**values)


def _faults_between(cls: type[Any], values: dict[str, Any], path: str) -> list[Fault]:
    check = getattr(cls, "faults_between", None)
    if check is None:
        return []
    return [attrs.evolve(fault, path=_join(path, fault.path)) for fault in check(values)]


def _check_names(known: Any, document: dict[str, Any], path: str, faults: list[Fault]) -> None:
    for name in document:
        if name in known:
            continue
        near = difflib.get_close_matches(name, known, n=1)
        hint = f"; did you mean {near[0]!r}?" if near else "; remove it"
        faults.append(Fault(path=_join(path, name), message=f"is no known option{hint}"))


def _load_option(
    hint: Any, field: attrs.Attribute[Any], raw: object, path: str, faults: list[Fault]
) -> Any:
    known = len(faults)
    value = _load_value(hint, raw, path, faults)
    if len(faults) > known:
        return None
    fault = spec_of(field).fault_of(value)
    if fault is not None:
        faults.append(Fault(path=path, message=fault))
    return value


def _load_value(hint: Any, raw: object, path: str, faults: list[Fault]) -> Any:
    if not _holds_section(hint):
        return _convert(hint, raw, path, faults)
    if attrs.has(hint):
        return _load_section(hint, raw, path, faults)
    origin, arguments = typing.get_origin(hint), typing.get_args(hint)
    if origin in (typing.Union, types.UnionType):
        if raw is None and type(None) in arguments:
            return None
        return _load_value(_section_of_union(arguments), raw, path, faults)
    if origin is dict:
        return _load_map(arguments[1], raw, path, faults)
    return _load_items(origin, arguments[0], raw, path, faults)


def _load_map(hint: Any, raw: object, path: str, faults: list[Fault]) -> Any:
    if not isinstance(raw, dict):
        faults.append(Fault(path=path, message="give an object of sections by name"))
        return None
    return {
        name: _load_value(hint, item, _join(path, str(name)), faults) for name, item in raw.items()
    }


def _load_items(origin: Any, hint: Any, raw: object, path: str, faults: list[Fault]) -> Any:
    if not isinstance(raw, list):
        faults.append(Fault(path=path, message="give a list of sections"))
        return None
    items = [_load_value(hint, item, f"{path}[{place}]", faults) for place, item in enumerate(raw)]
    return origin(items)


def _holds_section(hint: Any) -> bool:
    if isinstance(hint, type) and attrs.has(hint):
        return True
    return any(_holds_section(argument) for argument in typing.get_args(hint))


def _section_of_union(arguments: tuple[Any, ...]) -> Any:
    return next(argument for argument in arguments if _holds_section(argument))


def _convert(hint: Any, raw: object, path: str, faults: list[Fault]) -> Any:
    try:
        return msgspec.convert(raw, hint, strict=True)
    except msgspec.ValidationError as error:
        faults.append(Fault(path=path, message=str(error)))
        return None


def _join(path: str, name: str) -> str:
    return f"{path}.{name}" if path else name
