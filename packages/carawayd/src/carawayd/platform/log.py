"""Client of the log service."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec

from carawayd.platform.common import PlatformClient, PlatformError, PlatformRefusal
from carawayd.platform.plugins import platform_client

if TYPE_CHECKING:
    from carawayshore.records import Envelope

READ_LIMIT = 1000
# A long poll that is this late counts as a dead connection. Kept short, since the roll-out of a
# configuration to all members has to finish within 5 s.
READ_GRACE_SECONDS = 1.5


class Appended(NamedTuple):
    first: int
    end: int


class LoggedRecord(NamedTuple):
    offset: int
    record: Any


class Page(NamedTuple):
    """Records read from a stream, which retains the offsets from ``first`` up to ``end``."""

    records: list[LoggedRecord]
    first: int
    end: int


class OffsetRemoved(Exception):
    """The record at the requested offset was removed by retention."""

    def __init__(self, first: int, end: int) -> None:
        super().__init__(f"records before offset {first} were removed")
        self.first = first
        self.end = end


@platform_client("log")
class LogClient(PlatformClient):
    """Appends records to streams and reads them."""

    async def append(self, stream: str, envelopes: list[Envelope]) -> Appended:
        """Appends a batch.

        Raises
        ------
        PlatformRefusal
            If nothing was appended.
        PlatformError
            If it is unknown whether the batch was appended.
        """
        response = await self.call(
            "POST", f"/v1/streams/{stream}/records", body={"records": envelopes}
        )
        try:
            return Appended(int(response["first"]), int(response["end"]))
        except (KeyError, TypeError, ValueError) as error:
            raise PlatformError(f"malformed response to an append: {response!r}") from error

    async def read(self, stream: str, offset: int, *, wait: float) -> Page:
        """Reads records from ``offset`` on, waiting up to ``wait`` seconds for the first one.

        Raises
        ------
        OffsetRemoved
            If retention removed the offset.
        PlatformError
            If there was no valid response.
        """
        path = f"/v1/streams/{stream}/records?from={offset}&limit={READ_LIMIT}&wait={wait:g}"
        timeout = wait + READ_GRACE_SECONDS
        try:
            response = await self.call("GET", path, timeout=timeout)
        except PlatformRefusal as error:
            if error.status == 410 and isinstance(error.document, dict):
                first = int(error.document.get("first", 0))
                raise OffsetRemoved(first, int(error.document.get("end", first))) from error
            raise
        try:
            records = [LoggedRecord(int(r["offset"]), r["record"]) for r in response["records"]]
            return Page(records, int(response["first"]), int(response["end"]))
        except (KeyError, TypeError, ValueError, msgspec.ValidationError) as error:
            raise PlatformError(f"malformed page of stream {stream!r}: {error!r}") from error
