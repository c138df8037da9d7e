"""Typed fields of JSON documents, used for validation and for the generated reference pages."""

from __future__ import annotations

import re
from collections.abc import Callable
from typing import Any, NamedTuple

from carawayshore.findings import Finding, join_pointer

NAME_PATTERN = re.compile(r"[a-z][a-z0-9-]{0,40}")

Check = Callable[["Field", Any, str], list[Finding]]
_checks: dict[str, Check] = {}


class Field(NamedTuple):
    """One field of a document.

    Parameters
    ----------
    name : str
    kind : str
        Name of a registered check.
    help : str
        One sentence for the reference page and the forms.
    unit : str
        Unit of a number, for example ``s``.
    default : Any
        Value of an absent field; ignored if ``required``.
    required : bool
    minimum, maximum : float
        Inclusive bounds of a number.
    choices : tuple of str
        Accepted values of the kind ``choice``.
    fields : tuple of Field
        Fields of the kinds ``object`` and ``mapping``.
    """

    name: str
    kind: str
    help: str
    unit: str = ""
    default: Any = None
    required: bool = False
    minimum: float = 0
    maximum: float = 1e9
    choices: tuple[str, ...] = ()
    fields: tuple[Field, ...] = ()


def check(kind: str):
    """Registers a function that checks the values of a field kind."""

    def register(function: Check) -> Check:
        _checks[kind] = function
        return function

    return register


def _describe_range(field: Field, noun: str) -> str:
    unit = f" {field.unit}" if field.unit else ""
    return f"{noun} from {field.minimum:g} to {field.maximum:g}{unit}"


@check("integer")
def _check_integer(field: Field, value: Any, pointer: str) -> list[Finding]:
    valid = isinstance(value, int) and not isinstance(value, bool)
    if valid and field.minimum <= value <= field.maximum:
        return []
    return [Finding(pointer, value, _describe_range(field, "an integer"))]


@check("number")
def _check_number(field: Field, value: Any, pointer: str) -> list[Finding]:
    valid = isinstance(value, int | float) and not isinstance(value, bool)
    if valid and field.minimum <= value <= field.maximum:
        return []
    return [Finding(pointer, value, _describe_range(field, "a number"))]


@check("boolean")
def _check_boolean(field: Field, value: Any, pointer: str) -> list[Finding]:
    return [] if isinstance(value, bool) else [Finding(pointer, value, "true or false")]


@check("text")
def _check_text(field: Field, value: Any, pointer: str) -> list[Finding]:
    if isinstance(value, str) and len(value) <= 1000:
        return []
    return [Finding(pointer, value, "a string of at most 1000 characters")]


@check("name")
def _check_name(field: Field, value: Any, pointer: str) -> list[Finding]:
    if isinstance(value, str) and NAME_PATTERN.fullmatch(value):
        return []
    return [Finding(pointer, value, "a name of lower case letters, digits and '-', at most 41")]


@check("homed_name")
def _check_homed_name(field: Field, value: Any, pointer: str) -> list[Finding]:
    parts = value.split(":") if isinstance(value, str) else []
    if len(parts) in (1, 2) and all(NAME_PATTERN.fullmatch(part) for part in parts):
        return []
    return [Finding(pointer, value, "a name, or a data centre, ':' and a name")]


@check("choice")
def _check_choice(field: Field, value: Any, pointer: str) -> list[Finding]:
    if value in field.choices:
        return []
    return [Finding(pointer, value, "one of " + ", ".join(field.choices))]


@check("address")
def _check_address(field: Field, value: Any, pointer: str) -> list[Finding]:
    accepted = "an IPv4 address and port, for example 127.0.0.1:8080"
    if not isinstance(value, str):
        return [Finding(pointer, value, accepted)]
    matched = re.fullmatch(r"(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3}):(\d{1,5})", value)
    if matched and all(int(n) < 256 for n in matched.groups()[:4]) and int(matched[5]) < 65536:
        return []
    return [Finding(pointer, value, accepted)]


@check("names")
def _check_names(field: Field, value: Any, pointer: str) -> list[Finding]:
    if not isinstance(value, list):
        return [Finding(pointer, value, "a list of names")]
    return [
        finding
        for index, item in enumerate(value)
        for finding in _check_name(field, item, join_pointer(pointer, index))
    ]


@check("object")
def _check_object(field: Field, value: Any, pointer: str) -> list[Finding]:
    return check_fields(field.fields, value, pointer)


@check("members")
def _check_members(field: Field, value: Any, pointer: str) -> list[Finding]:
    return [] if isinstance(value, dict) else [Finding(pointer, value, "an object")]


@check("mapping")
def _check_mapping(field: Field, value: Any, pointer: str) -> list[Finding]:
    if not isinstance(value, dict):
        return [Finding(pointer, value, "an object with one member for each name")]
    found = []
    for name, item in value.items():
        item_pointer = join_pointer(pointer, name)
        found += _check_name(field, name, item_pointer)
        found += check_fields(field.fields, item, item_pointer)
    return found


def check_fields(fields: tuple[Field, ...], value: Any, pointer: str = "") -> list[Finding]:
    """Returns all findings about an object that is expected to have ``fields``.

    Parameters
    ----------
    fields : tuple of Field
    value : Any
        Parsed JSON of any type.
    pointer : str
        JSON pointer of ``value`` in its document.
    """
    names = [field.name for field in fields]
    if not isinstance(value, dict):
        return [Finding(pointer, value, "an object with the members " + ", ".join(names))]
    found = [
        Finding(join_pointer(pointer, name), value[name], "one of " + ", ".join(names))
        for name in sorted(set(value) - set(names))
    ]
    for field in fields:
        item_pointer = join_pointer(pointer, field.name)
        if field.name in value:
            found += _checks[field.kind](field, value[field.name], item_pointer)
        elif field.required:
            found.append(Finding(item_pointer, None, f"a value is required: {field.help}"))
    return found


def fill_defaults(fields: tuple[Field, ...], value: dict[str, Any]) -> dict[str, Any]:
    """Returns a copy of a valid object with the defaults of absent fields filled in."""
    filled: dict[str, Any] = {}
    for field in fields:
        item = value.get(field.name, field.default)
        if field.kind == "object":
            item = fill_defaults(field.fields, item or {})
        elif field.kind == "mapping":
            item = {name: fill_defaults(field.fields, part) for name, part in (item or {}).items()}
        elif field.kind == "names":
            item = list(item or [])
        filled[field.name] = item
    return filled
