"""Client of the log service."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec

from carawayd.platform.common import PlatformClient, PlatformError, PlatformRefusal
from carawayd.platform.plugins import platform_client

if TYPE_CHECKING:
    from carawayshore.records import Envelope

READ_LIMIT = 1000
# A long poll that is this late is taken for a silent connection; a roll-out has 5 s in all.
READ_GRACE_SECONDS = 1.5


class Appended(NamedTuple):
    first: int
    end: int


class LoggedRecord(NamedTuple):
    offset: int
    record: Any


class Page(NamedTuple):
    """Records read from a stream; ``first`` and ``end`` are the offsets that it retains."""

    records: list[LoggedRecord]
    first: int
    end: int


class OffsetRemoved(Exception):
    """The offset asked for was removed by retention."""

    def __init__(self, first: int, end: int) -> None:
        super().__init__(f"records before offset {first} were removed")
        self.first = first
        self.end = end


@platform_client("log")
class LogClient(PlatformClient):
    """Appends to and reads from streams."""

    async def append(self, stream: str, envelopes: list[Envelope]) -> Appended:
        """Appends a batch.

        Raises
        ------
        PlatformRefusal
            If nothing was appended.
        PlatformError
            If it is not known whether the batch was appended.
        """
        answer = await self.call(
            "POST", f"/v1/streams/{stream}/records", body={"records": envelopes}
        )
        try:
            return Appended(int(answer["first"]), int(answer["end"]))
        except (KeyError, TypeError, ValueError) as error:
            raise PlatformError(f"malformed answer to an append: {answer!r}") from error

    async def read(self, stream: str, offset: int, *, wait: float) -> Page:
        """Reads records from ``offset`` on, waiting up to ``wait`` seconds for the first one.

        Raises
        ------
        OffsetRemoved
            If retention removed the offset.
        PlatformError
            If there was no valid answer.
        """
        path = f"/v1/streams/{stream}/records?from={offset}&limit={READ_LIMIT}&wait={wait:g}"
        timeout = wait + READ_GRACE_SECONDS
        try:
            answer = await self.call("GET", path, timeout=timeout)
        except PlatformRefusal as error:
            if error.status == 410 and isinstance(error.document, dict):
                first = int(error.document.get("first", 0))
                raise OffsetRemoved(first, int(error.document.get("end", first))) from error
            raise
        try:
            records = [LoggedRecord(int(r["offset"]), r["record"]) for r in answer["records"]]
            return Page(records, int(answer["first"]), int(answer["end"]))
        except (KeyError, TypeError, ValueError, msgspec.ValidationError) as error:
            raise PlatformError(f"malformed page of stream {stream!r}: {error!r}") from error
