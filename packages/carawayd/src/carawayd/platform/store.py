"""Client of the metadata store: partitioned topics, their latest records by key, and groups."""

from __future__ import annotations

import base64
import struct
from typing import Any, NamedTuple, NotRequired, TypedDict
from urllib.parse import urlencode

import msgspec

from carawayd.platform.common import (
    PlatformClient,
    PlatformError,
    PlatformRefusal,
    convert_response,
)
from carawayd.platform.plugins import platform_client
from carawayd.unreadable import unreadable_records
from carawayshore.decoding import Count, MalformedDocument, decode_json, reject

# Limit of the name of a record.
MAX_KEY_BYTES = 255
# Bytes that precede each record in an append.
RECORD_HEADER_BYTES = 4
# Stands for a value that is not base64. It is not empty, since that would delete the key, and no
# reader accepts it.
UNDECODABLE_VALUE = b"\xff"
# A long poll without a response this long after its wait is treated as a lost connection.
READ_GRACE_SECONDS = 0.8
CALL_TIMEOUT_SECONDS = 1.5
# Short, since a renewal whose response is lost must be retried well before the membership expires.
JOIN_TIMEOUT_SECONDS = 0.6
PAGE_TIMEOUT_SECONDS = 4.0

OPERATOR_TOPIC = "keyed.op"
WORKERS_TOPIC = "keyed.servers"
STATUS_TOPIC = "keyed.status"


class Fenced(PlatformError):
    """A later epoch has written to the partition, so that this writer can no longer append."""


class OffsetConflict(PlatformError):
    """The expected offset of a conditional append is not the end of the partition."""


class RecordsExpired(PlatformError):
    """The requested records have expired; the latest record of each key is still available."""


class KeyedRecord(NamedTuple):
    """Record of a keyed topic; an empty ``value`` deletes the key."""

    key: str
    value: bytes


class RecordBatch(NamedTuple):
    """Records read from an offset on.

    Parameters
    ----------
    records : list of KeyedRecord
    end : int
        Offset of the next read.
    partition_end : int
        End of the partition at the time of the read. It is beyond ``end`` if not all records were
        returned.
    """

    records: list[KeyedRecord]
    end: int
    partition_end: int


class LatestRecords(NamedTuple):
    """Latest record of each key, in the order in which they were appended.

    ``end`` is the end offset before the first page was read.
    """

    records: list[KeyedRecord]
    end: int


class _AppendResponse(TypedDict):
    endOffset: Count


class _LatestItem(TypedDict):
    key: str
    value: NotRequired[str | None]
    offset: NotRequired[Count | None]


class _OrderedRecord(NamedTuple):
    """Record and its offset, 0 if unknown."""

    record: KeyedRecord
    offset: int


class _ItemKey(TypedDict):
    key: str


class _LatestPage(TypedDict):
    items: list[_LatestItem]
    hasMore: NotRequired[bool | None]
    endOffset: Count


class _LoosePage(TypedDict):
    """Page whose items are decoded one by one."""

    items: list[msgspec.Raw]
    hasMore: NotRequired[bool | None]
    endOffset: Count


class _PartitionRow(msgspec.Struct, array_like=True):
    topic: str
    partition: Count


class _OwnerRow(msgspec.Struct, array_like=True):
    topic: str
    partition: Count
    member: str | None


class _JoinResponse(TypedDict):
    generation: Count
    parts: list[_PartitionRow]


class Membership(NamedTuple):
    """Generation of a group, and the (topic, partition) pairs that the member holds."""

    generation: int
    partitions: frozenset[tuple[str, int]]


def measure_record(record: KeyedRecord) -> int:
    """Returns the size of a record in bytes, as the store's limit on records counts it."""
    return 1 + len(record.key.encode()) + len(record.value)


def encode_records(records: list[KeyedRecord]) -> bytes:
    """Returns the body of an append to a keyed topic."""
    parts = []
    for key, value in records:
        name = key.encode()
        parts.append(struct.pack(">IB", 1 + len(name) + len(value), len(name)) + name + value)
    return b"".join(parts)


def _decode_records(data: bytes, topic: str = "") -> tuple[list[KeyedRecord], int]:
    """Returns the decodable records and the number of all complete records.

    A record whose key is not UTF-8 names nothing, so it is noted and left out.
    """
    records, position, count = [], 0, 0
    while position + 4 <= len(data):
        (length,) = struct.unpack_from(">I", data, position)
        record = data[position + 4 : position + 4 + length]
        if len(record) < length:
            break
        position += 4 + length
        count += 1
        if not record or 1 + record[0] > len(record):
            continue
        name = record[1 : 1 + record[0]]
        try:
            records.append(KeyedRecord(name.decode(), record[1 + record[0] :]))
        except UnicodeDecodeError:
            unreadable_records.note(topic, repr(name), reject("", repr(name), "a key in UTF-8"))
    return records, count


def _decode_items(items: list[msgspec.Raw], topic: str) -> list[_OrderedRecord]:
    """Returns the records of a page; an item without a key is noted and left out."""
    records = []
    for number, item in enumerate(items):
        try:
            records.append(_decode_item(decode_json(item, _LatestItem)))
        except MalformedDocument as error:
            try:
                key = decode_json(item, _ItemKey)["key"]
            except MalformedDocument:
                unreadable_records.note(topic, f"item {number}", error)
                continue
            records.append(_OrderedRecord(KeyedRecord(key, UNDECODABLE_VALUE), 0))
    return records


def _decode_item(item: _LatestItem) -> _OrderedRecord:
    value = _decode_value(item.get("value") or "")
    return _OrderedRecord(KeyedRecord(item["key"], value), item.get("offset") or 0)


def _decode_value(text: str) -> bytes:
    try:
        return base64.b64decode(text)
    except ValueError:
        return UNDECODABLE_VALUE


@platform_client("store")
class StoreClient(PlatformClient):
    """Appends to and reads from partitions, and assigns them to the members of groups."""

    async def append(
        self,
        topic: str,
        partition: int,
        data: bytes,
        *,
        expected_end: int | None = None,
        producer: str = "",
        epoch: int = 0,
        sequence: int = 0,
    ) -> int:
        """Appends records atomically and returns the end offset of the partition.

        Raises
        ------
        Fenced
            If a later epoch of the producer has written to the partition.
        OffsetConflict
            If the partition does not end at ``expected_end``.
        PlatformRefusal
            If nothing was appended.
        PlatformError
            If it is unknown whether the records were appended.
        """
        query: dict[str, Any] = {"topic": topic, "part": partition}
        if expected_end is not None:
            query["at"] = expected_end
        if producer:
            query |= {"producer": producer, "epoch": epoch, "seq": sequence}
        response, text = await self.send_request(
            "POST",
            f"/api/log-append?{urlencode(query)}",
            data=data,
            timeout=CALL_TIMEOUT_SECONDS,
            headers={"Content-Type": "application/octet-stream"},
        )
        try:
            return self._decode_response(response, text, _AppendResponse)["endOffset"]
        except PlatformRefusal as refusal:
            if refusal.status == 412:
                raise OffsetConflict(str(refusal)) from refusal
            if refusal.status == 409 and refusal.reason == "fenced":
                raise Fenced(str(refusal)) from refusal
            raise

    async def read(self, topic: str, partition: int, offset: int, *, wait: float) -> RecordBatch:
        """Reads records from ``offset`` on, waiting up to ``wait`` seconds for the first one.

        Raises
        ------
        RecordsExpired
            If the record at ``offset`` has expired.
        PlatformError
            If there was no valid response.
        """
        query = {"topic": topic, "part": partition, "from": offset, "waitMs": int(wait * 1000)}
        response, data = await self.send_request(
            "GET", f"/api/log-read?{urlencode(query)}", timeout=wait + READ_GRACE_SECONDS
        )
        if response.status == 410:
            raise RecordsExpired(f"{topic}/{partition}: the record at offset {offset} has expired")
        if response.status >= 400:
            self._decode_response(response, data)
        # The response starts with the end and start offset of the partition, 8 bytes each.
        if len(data) < 16:
            raise PlatformError(
                f"response of {len(data)} bytes to a read of {topic}, expected at least 16"
            )
        records, count = _decode_records(data[16:], topic)
        (partition_end,) = struct.unpack_from(">Q", data)
        return RecordBatch(records, offset + count, partition_end)

    async def read_latest(self, topic: str, partition: int) -> LatestRecords:
        """Returns the latest record of each key.

        A key that changes between two pages may be missed. Either nobody may write meanwhile, or
        the caller has to read on from ``end``, the end offset before the first page.
        """
        ordered: list[_OrderedRecord] = []
        after, end = "", None
        while True:
            query = {"topic": topic, "part": partition}
            if after:
                query["after"] = after
            path = f"/api/log-newest?{urlencode(query)}"
            response, data = await self.send_request("GET", path, timeout=PAGE_TIMEOUT_SECONDS)
            page, found = self._decode_page(response, data, topic)
            ordered += found
            end = page["endOffset"] if end is None else end
            if not page.get("hasMore"):
                ordered.sort(key=lambda item: item.offset)
                return LatestRecords([item.record for item in ordered], end)
            if not found or found[-1].record.key == after:
                raise PlatformError(f"page of {topic} after {after!r} does not tell where to go on")
            after = found[-1].record.key

    def _decode_page(
        self, response: Any, data: bytes, topic: str
    ) -> tuple[_LatestPage | _LoosePage, list[_OrderedRecord]]:
        """Returns a page and its records; a malformed item costs that item alone."""
        try:
            page = self._decode_response(response, data, _LatestPage)
            return page, [_decode_item(item) for item in page["items"]]
        except PlatformRefusal:
            raise
        except PlatformError:
            page = self._decode_response(response, data, _LoosePage)
            return page, _decode_items(page["items"], topic)

    async def join(
        self, group: str, member: str, topics: list[str], *, ttl: float, generation: int
    ) -> Membership:
        """Joins a group or renews the membership; returns the partitions that the member holds."""
        body = {
            "group": group,
            "member": member,
            "topics": topics,
            "ttlMs": int(ttl * 1000),
            "generation": generation,
        }
        joined = await self.call(
            "POST", "/api/log-join", body=body, timeout=JOIN_TIMEOUT_SECONDS, kind=_JoinResponse
        )
        held = frozenset((row.topic, row.partition) for row in joined["parts"])
        return Membership(joined["generation"], held)

    async def leave(self, group: str, member: str) -> None:
        """Leaves a group, which releases all partitions of the member at once."""
        body = {"group": group, "member": member}
        await self.call("POST", "/api/log-leave", body=body, timeout=CALL_TIMEOUT_SECONDS)

    async def list_owners(self, group: str) -> dict[tuple[str, int], str]:
        """Returns the member that holds each (topic, partition)."""
        path = f"/api/log-owners?{urlencode({'group': group})}"
        document = await self.call("GET", path, timeout=CALL_TIMEOUT_SECONDS)
        rows = document if isinstance(document, list) else _find_list(document)
        owners = convert_response(rows, list[_OwnerRow])
        return {(row.topic, row.partition): row.member or "" for row in owners}


def _find_list(document: Any) -> list:
    """Returns the only list in a response; the protocol does not specify the name of its field."""
    values = document.values() if isinstance(document, dict) else ()
    return next((value for value in values if isinstance(value, list)), [])
