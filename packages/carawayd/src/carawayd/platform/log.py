"""Client of the log service."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple, NotRequired, TypedDict

from carawayd.platform.common import PlatformClient, PlatformRefusal, convert_response
from carawayd.platform.plugins import platform_client
from carawayshore.decoding import Count

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


class _AppendResponse(TypedDict):
    first: Count
    end: Count


class _RecordDocument(TypedDict):
    offset: Count
    record: Any


class _PageDocument(TypedDict):
    records: list[_RecordDocument]
    first: Count
    end: Count


class _RemovedDocument(TypedDict):
    first: NotRequired[Count]
    end: NotRequired[Count]


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
            "POST",
            f"/v1/streams/{stream}/records",
            body={"records": envelopes},
            kind=_AppendResponse,
        )
        return Appended(response["first"], response["end"])

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
            page = await self.call("GET", path, timeout=timeout, kind=_PageDocument)
        except PlatformRefusal as error:
            if error.status == 410 and isinstance(error.document, dict):
                bounds = convert_response(error.document, _RemovedDocument)
                first = bounds.get("first", 0)
                raise OffsetRemoved(first, bounds.get("end", first)) from error
            raise
        records = [LoggedRecord(item["offset"], item["record"]) for item in page["records"]]
        return Page(records, page["first"], page["end"])
