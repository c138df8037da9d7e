"""Checked decoding of documents that another program has written.

Every reader of such a document declares its fields as a type and decodes through this module.
Whatever is wrong with the document, and however deeply it is nested, the reader sees a value of
that type or one exception, :class:`MalformedDocument`. Unknown fields are ignored.

Load pattern: hundreds of small documents four times a second, nearly all of them valid. A valid
document is decoded and checked in one pass; only a malformed one is decoded a second time, to find
the value at fault.
"""

from __future__ import annotations

import functools
import math
import re
from typing import Annotated, Any

import msgspec

from carawayshore.findings import Finding, join_pointer

# Larger than any document that the program reads, and far below the recursion limit.
MAX_DEPTH = 64
MIN_INTEGER, MAX_INTEGER = -(2**63), 2**63 - 1
# Largest number up to which a float represents every integer.
MAX_EXACT_NUMBER = 2**53
MAX_DURATION_MS = 100 * 366 * 86_400_000
# End of the year 9999, the last one that a datetime can express.
MAX_UNIX_MS = 253_402_300_799_999
MAX_PORT = 65_535
MAX_HOST_LENGTH = 253
# The store's keys have at most 255 bytes, and those of the ledger add a prefix.
MAX_IDENTIFIER_LENGTH = 200
MAX_SHOWN_LENGTH = 60
# Addresses recur with each entry of a worker.
MAX_CACHED_TEXTS = 4_096

# Types of fields. A quantity may be written with a fraction.
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_EXACT_NUMBER)]
Number = Annotated[float, msgspec.Meta(ge=-float(MAX_EXACT_NUMBER), le=float(MAX_EXACT_NUMBER))]
Quantity = Annotated[float, msgspec.Meta(ge=0.0, le=float(MAX_EXACT_NUMBER))]
Seconds = Annotated[float, msgspec.Meta(ge=0.0, le=MAX_DURATION_MS / 1000)]
Milliseconds = Annotated[float, msgspec.Meta(ge=0.0, le=float(MAX_DURATION_MS))]
UnixMilliseconds = Annotated[float, msgspec.Meta(ge=0.0, le=float(MAX_UNIX_MS))]
Text = Annotated[str, msgspec.Meta(min_length=1)]
# Identifiers appear in headers and in log lines, so they hold no spaces or control characters.
Identifier = Annotated[str, msgspec.Meta(pattern=rf"^[!-~]{{1,{MAX_IDENTIFIER_LENGTH}}}$")]

_IDENTIFIER = re.compile(rf"[!-~]{{1,{MAX_IDENTIFIER_LENGTH}}}")
_HOST_LABEL = r"[A-Za-z0-9_](?:[A-Za-z0-9_-]{0,61}[A-Za-z0-9_])?"
_ADDRESS = re.compile(
    rf"(?P<host>{_HOST_LABEL}(?:\.{_HOST_LABEL})*|\[[0-9A-Fa-f:.]{{2,45}}\]):(?P<port>[0-9]{{1,5}})"
)
ACCEPTED_ADDRESS = f"HOST:PORT with a port from 1 to {MAX_PORT}"
# A token of the path in an error of msgspec: a field or an index.
_PATH_TOKEN = re.compile(r"\.([^.\[\]`]+)|\[(\d+)\]")
_ERROR = re.compile(r"(?P<problem>.*?)(?: - at `\$(?P<path>.*)`)?", re.DOTALL)


class MalformedDocument(ValueError):
    """A document does not have the declared form; ``finding`` is its first validation error."""

    def __init__(self, finding: Finding) -> None:
        super().__init__(str(finding))
        self.finding = finding


def reject(pointer: str, found: Any, accepted: str) -> MalformedDocument:
    """Returns the exception for a value that is not accepted; the value is shortened."""
    return MalformedDocument(Finding(pointer, shorten(found), accepted))


def shorten(value: Any) -> Any:
    """Returns a value as it is shown in messages, with a bounded length."""
    if isinstance(value, bool) or value is None:
        return value
    if isinstance(value, int):
        return value if abs(value) <= MAX_INTEGER else f"integer of {value.bit_length()} bits"
    if isinstance(value, list | tuple):
        return f"array of {len(value)} items"
    if isinstance(value, dict):
        return f"object of {len(value)} fields"
    if isinstance(value, str | bytes) and len(value) > MAX_SHOWN_LENGTH:
        text = (
            value if isinstance(value, str) else value[:MAX_SHOWN_LENGTH].decode(errors="replace")
        )
        return text[:MAX_SHOWN_LENGTH] + "..."
    return value


@functools.cache
def _get_json_decoder(kind: Any) -> msgspec.json.Decoder:
    return msgspec.json.Decoder(kind)


@functools.cache
def _get_msgpack_decoder(kind: Any) -> msgspec.msgpack.Decoder:
    return msgspec.msgpack.Decoder(kind)


def decode_json(data: bytes | str, kind: Any = Any) -> Any:
    """Returns a JSON document as a value of the type ``kind``.

    Without a type, the values are built-in ones of at most ``MAX_DEPTH`` levels.

    Raises
    ------
    MalformedDocument
    """
    return _decode(_get_json_decoder, data, kind)


def decode_msgpack(data: bytes, kind: Any = Any) -> Any:
    """Returns a MessagePack document as a value of the type ``kind``; see :func:`decode_json`."""
    return _decode(_get_msgpack_decoder, data, kind)


def _decode(get_decoder: Any, data: bytes | str, kind: Any) -> Any:
    try:
        document = get_decoder(kind).decode(data)
    except msgspec.ValidationError as error:
        try:
            shown = get_decoder(Any).decode(data)
        except (msgspec.MsgspecError, RecursionError, ValueError):
            shown = data
        raise MalformedDocument(_build_finding(error, shown)) from error
    except RecursionError as error:
        raise reject("", data, "a document that is less deeply nested") from error
    except (msgspec.MsgspecError, ValueError) as error:
        raise reject("", data, f"a well-formed document ({error})") from error
    if kind is Any:
        check_bounds(document)
    return document


def convert(value: Any, kind: Any) -> Any:
    """Returns decoded built-in values as a value of the type ``kind``.

    Raises
    ------
    MalformedDocument
    """
    try:
        return msgspec.convert(value, kind)
    except msgspec.ValidationError as error:
        raise MalformedDocument(_build_finding(error, value)) from error
    except (RecursionError, OverflowError) as error:
        raise reject("", value, f"a value within the bounds ({error})") from error


def _build_finding(error: msgspec.ValidationError, document: Any) -> Finding:
    """Returns the finding for an error of msgspec, which names a path and the accepted values."""
    match = _ERROR.fullmatch(str(error))
    pointer, value = "", document
    for field, index in _PATH_TOKEN.findall(match["path"] or ""):
        token = field or int(index)
        pointer = join_pointer(pointer, token)
        try:
            value = value[token]
        except (KeyError, IndexError, TypeError):
            value = None
    problem = match["problem"]
    missing = re.fullmatch(r"Object missing required field `(.+)`", problem)
    if missing:
        return Finding(join_pointer(pointer, missing[1]), None, "a value, which is required")
    accepted = problem.removeprefix("Expected ").partition(", got ")[0].replace("`", "")
    return Finding(pointer, shorten(value), accepted)


def check_bounds(document: Any) -> None:
    """Checks nesting and numbers of a document without a declared type.

    Raises
    ------
    MalformedDocument
        If it has more than ``MAX_DEPTH`` levels, an integer of more than 64 bits, or a number that
        is not finite.
    """
    level, depth = [document], 0
    while level:
        if depth > MAX_DEPTH:
            raise reject("", document, f"a document of at most {MAX_DEPTH} levels")
        following: list[Any] = []
        for value in level:
            if isinstance(value, dict):
                following += value.values()
            elif isinstance(value, list | tuple):
                following += value
            elif isinstance(value, float):
                if not math.isfinite(value):
                    raise reject("", value, "finite numbers")
            elif isinstance(value, int) and not MIN_INTEGER <= value <= MAX_INTEGER:
                raise reject("", value, "integers of at most 64 bits")
        level, depth = following, depth + 1


@functools.lru_cache(MAX_CACHED_TEXTS)
def check_address(value: str, pointer: str = "") -> str:
    """Returns a network address, HOST:PORT; raises MalformedDocument if it is not one."""
    match = _ADDRESS.fullmatch(value)
    if not match or len(match["host"]) > MAX_HOST_LENGTH or not 1 <= int(match["port"]) <= MAX_PORT:
        raise reject(pointer, value, ACCEPTED_ADDRESS)
    return value


def is_identifier(value: str) -> bool:
    """Whether a text may be an :data:`Identifier`."""
    return _IDENTIFIER.fullmatch(value) is not None


def parse_count(text: str | bytes, maximum: int = MAX_EXACT_NUMBER) -> int:
    """Returns an integer from 0 to ``maximum`` written in ASCII digits.

    Raises
    ------
    MalformedDocument
        If it has another form, or too many digits.
    """
    if text.isascii() and text.isdigit() and len(text) <= len(str(maximum)):
        number = int(text)
        if number <= maximum:
            return number
    raise reject("", text, f"an integer from 0 to {maximum} in digits")
