"""Stand-in for the users' platform store: keyed topics, producer epochs and consumer groups."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import struct
from typing import Any

from aiohttp import web

SILENT_RESPONSE_DELAY_SECONDS = 30.0


class Partition:
    """Records of one partition; records before ``start_offset`` have expired."""

    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.start_offset = 0
        # By producer: its epoch, its last sequence number, and the (first, end) offsets of its last
        # appends by sequence number, with which a repeated append is answered.
        self.producers: dict[str, tuple[int, int, dict[int, tuple[int, int]]]] = {}
        self.changed = asyncio.Event()

    @property
    def end_offset(self) -> int:
        return self.start_offset + len(self.records)

    def append(self, records: list[bytes]) -> tuple[int, int]:
        """Appends ``records`` and returns the offset of the first one and the end offset."""
        first = self.end_offset
        self.records += records
        self.changed.set()
        self.changed = asyncio.Event()
        return first, self.end_offset


class Member:
    """Member of a group; ``ttl`` in seconds, ``last_join_at`` in event-loop time."""

    def __init__(self) -> None:
        self.last_join_at = 0.0
        self.known_generation = 0
        self.ttl = 1.0


class Group:
    """Members of a consumer group and the owner of each (topic, partition)."""

    def __init__(self) -> None:
        self.generation = 0
        self.members: dict[str, Member] = {}
        self.owners: dict[tuple[str, int], str] = {}


class PlatformStore:
    """In-memory store with fault injection.

    Parameters
    ----------
    partition_count : int
        Number of partitions of each topic.

    Attributes
    ----------
    outage : bool
        Respond 503 to every request.
    silent : bool
        Delay every response by ``SILENT_RESPONSE_DELAY_SECONDS``.
    append_delay_seconds : float
        Delay of each append.
    lose_answers : int
        Number of POST requests whose response is lost although they take effect.
    """

    def __init__(self, partition_count: int = 4) -> None:
        self.partition_count = partition_count
        self.outage = False
        self.silent = False
        self.append_delay_seconds = 0.0
        self.lose_answers = 0
        # Ticket of each worker that the placement policy allows.
        self.allowed_tickets: dict[str, str] = {}
        self.advice_calls: list[tuple[str, list[str]]] = []
        self.appends: list[tuple[str, int, str, int]] = []
        self.latest_values: dict[tuple[str, int], dict[str, tuple[bytes, int]]] = {}
        self._partitions: dict[tuple[str, int], Partition] = {}
        self._groups: dict[str, Group] = {}
        self._runner: web.AppRunner | None = None

    async def start(self, address: str) -> None:
        application = web.Application(client_max_size=4_000_000, middlewares=[self._apply_faults])
        application.add_routes(
            [
                web.post("/api/log-append", self._append),
                web.get("/api/log-read", self._read),
                web.get("/api/log-newest", self._read_latest),
                web.post("/api/log-join", self._join),
                web.post("/api/log-leave", self._leave),
                web.get("/api/log-owners", self._owners),
                web.post("/api/advise", self._advise),
            ]
        )
        host, _, port = address.rpartition(":")
        self._runner = web.AppRunner(application, access_log=None, shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, host, int(port)).start()

    async def stop(self) -> None:
        if self._runner is not None:
            await self._runner.cleanup()

    @web.middleware
    async def _apply_faults(self, request: web.Request, handler) -> web.StreamResponse:
        if self.silent:
            await asyncio.sleep(SILENT_RESPONSE_DELAY_SECONDS)
        if self.outage:
            return web.Response(status=503)
        response = await handler(request)
        if self.lose_answers > 0 and request.method == "POST":
            self.lose_answers -= 1
            request.transport.close()
        return response

    def get_partition(self, topic: str, number: int) -> Partition:
        """Returns a partition, which is created on first use."""
        return self._partitions.setdefault((topic, number), Partition())

    def put(self, topic: str, key: str, value: Any) -> None:
        """Appends a record to partition 0 of ``topic``; the value None deletes the key."""
        encoded_value = b"" if value is None else json.dumps(value).encode()
        self._store(topic, 0, [bytes([len(key)]) + key.encode() + encoded_value])

    def expire(self, topic: str, number: int = 0) -> None:
        """Expires all records of a partition; the latest value of each key is kept."""
        partition = self.get_partition(topic, number)
        partition.start_offset, partition.records = partition.end_offset, []

    def rotate_owners(self, group: str) -> None:
        """Assigns every partition to the next member at once, if there are several."""
        state = self._groups[group]
        names = sorted(state.members)
        state.generation += 1
        state.owners = {
            partition: names[(names.index(owner) + 1) % len(names)]
            for partition, owner in state.owners.items()
        }

    def _store(self, topic: str, number: int, records: list[bytes]) -> tuple[int, int]:
        first, end_offset = self.get_partition(topic, number).append(records)
        latest_values = self.latest_values.setdefault((topic, number), {})
        for index, record in enumerate(records):
            length = record[0]
            key, value = record[1 : 1 + length].decode(), record[1 + length :]
            if value:
                latest_values[key] = (value, first + index)
            else:
                latest_values.pop(key, None)
        return first, end_offset

    async def _append(self, request: web.Request) -> web.Response:
        if self.append_delay_seconds:
            await asyncio.sleep(self.append_delay_seconds)
        query = request.query
        topic, number = query["topic"], int(query["part"])
        partition = self.get_partition(topic, number)
        body = await request.read()
        records, position = [], 0
        while position < len(body):
            (length,) = struct.unpack_from(">I", body, position)
            records.append(body[position + 4 : position + 4 + length])
            position += 4 + length
        if "at" in query and int(query["at"]) != partition.end_offset:
            return web.json_response({"endOffset": partition.end_offset}, status=412)
        producer = query.get("producer")
        if producer:
            epoch, sequence = int(query["epoch"]), int(query["seq"])
            known_epoch, last_sequence, responses = partition.producers.get(producer, (-1, -1, {}))
            if epoch < known_epoch:
                return web.json_response({"reason": "fenced"}, status=409)
            if epoch > known_epoch:
                last_sequence, responses = sequence - 1, {}
            if records and sequence in responses:
                first, end_offset = responses[sequence]
                return web.json_response({"offset": first, "endOffset": end_offset})
            if records and sequence != last_sequence + 1:
                return web.json_response(
                    {"reason": "seq", "expected": last_sequence + 1}, status=409
                )
        first, end_offset = self._store(topic, number, records)
        if producer:
            if records:
                # The last five responses are kept, for appends that are sent again.
                responses = dict(list(responses.items())[-4:]) | {sequence: (first, end_offset)}
            partition.producers[producer] = (epoch, sequence, responses)
            self.appends.append((topic, number, producer, epoch))
        return web.json_response({"offset": first, "endOffset": end_offset})

    async def _read(self, request: web.Request) -> web.Response:
        query = request.query
        partition = self.get_partition(query["topic"], int(query["part"]))
        offset, wait = int(query["from"]), int(query.get("waitMs", 0)) / 1000
        if offset < partition.start_offset:
            return web.json_response({"startOffset": partition.start_offset}, status=410)
        if offset >= partition.end_offset and wait:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(partition.changed.wait(), wait)
        records = partition.records[max(0, offset - partition.start_offset) :]
        data = b"".join(struct.pack(">I", len(record)) + record for record in records)
        return web.Response(
            body=struct.pack(">QQ", partition.end_offset, partition.start_offset) + data
        )

    async def _read_latest(self, request: web.Request) -> web.Response:
        query = request.query
        topic, number = query["topic"], int(query["part"])
        keys = sorted(key for key in self.latest_values.get((topic, number), {}))
        keys = [key for key in keys if key > query.get("after", "")]
        items = []
        # A page has at most 500 items.
        for key in keys[:500]:
            value, offset = self.latest_values[topic, number][key]
            encoded = base64.b64encode(value).decode()
            items.append({"key": key, "value": encoded, "offset": offset})
        end_offset = self.get_partition(topic, number).end_offset
        return web.json_response(
            {"items": items, "hasMore": len(keys) > 500, "endOffset": end_offset}
        )

    def _assign_partitions(self, group: Group, topics: list[str]) -> None:
        """Distributes the partitions evenly over the members and starts a new generation."""
        names = sorted(group.members)
        partitions = [(topic, number) for topic in topics for number in range(self.partition_count)]
        owners = (
            {partition: names[index % len(names)] for index, partition in enumerate(partitions)}
            if names
            else {}
        )
        if owners != group.owners:
            group.owners = owners
        group.generation += 1

    async def _join(self, request: web.Request) -> web.Response:
        body = await request.json()
        group = self._groups.setdefault(body["group"], Group())
        now = asyncio.get_running_loop().time()
        expired = [
            name
            for name, member in group.members.items()
            if now - member.last_join_at > member.ttl and name != body["member"]
        ]
        for name in expired:
            del group.members[name]
        is_new = body["member"] not in group.members
        member = group.members.setdefault(body["member"], Member())
        member.last_join_at, member.ttl = now, body["ttlMs"] / 1000
        member.known_generation = body.get("generation", 0)
        if is_new or expired:
            self._assign_partitions(group, body["topics"])
        rows = [
            [topic, number, 0]
            for (topic, number), owner in sorted(group.owners.items())
            if owner == body["member"]
        ]
        return web.json_response(
            {"generation": group.generation, "ttlMs": body["ttlMs"], "parts": rows}
        )

    async def _leave(self, request: web.Request) -> web.Response:
        body = await request.json()
        group = self._groups.setdefault(body["group"], Group())
        if group.members.pop(body["member"], None) is not None:
            self._assign_partitions(group, sorted({topic for topic, _ in group.owners}))
        return web.json_response({})

    async def _owners(self, request: web.Request) -> web.Response:
        group = self._groups.setdefault(request.query["group"], Group())
        rows = [[topic, number, owner, 0] for (topic, number), owner in group.owners.items()]
        return web.json_response({"owners": rows})

    async def _advise(self, request: web.Request) -> web.Response:
        body = await request.json()
        self.advice_calls.append((body["step"], body["workers"]))
        rows = [
            [name, self.allowed_tickets[name]]
            for name in body["workers"]
            if name in self.allowed_tickets
        ]
        return web.json_response({"allowed": rows, "validMs": 3000})
