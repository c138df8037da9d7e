"""Stand-in of the platform's store, as the users' page PROTOCOL describes it (form ``log``).

The store loses nothing that it has acknowledged. A partition of a group that moves between two live
members changes hands only after the former one has joined with the new generation.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import struct
from typing import Any

from aiohttp import web

PAGE_ITEMS = 500
RECORD_BYTES = 262_144
REQUEST_BYTES = 2_097_152


class Partition:
    """Log of one partition, the newest value of each key, and the epochs of its producers."""

    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.newest: dict[str, tuple[bytes, int]] = {}
        # Epoch, last sequence number and the responses to the last five appends, by producer.
        self.producers: dict[str, tuple[int, int, dict[int, tuple[int, int]]]] = {}
        self.changed = asyncio.Event()

    def append(self, records: list[bytes]) -> tuple[int, int]:
        first = len(self.records)
        for offset, record in enumerate(records, first):
            length = record[0]
            key, value = record[1 : 1 + length].decode(), record[1 + length :]
            if value:
                self.newest[key] = (value, offset)
            else:
                self.newest.pop(key, None)
        self.records += records
        self.changed.set()
        self.changed = asyncio.Event()
        return first, len(self.records)


class Member:
    def __init__(self) -> None:
        self.joined_at = 0.0
        self.ttl = 1.0
        self.generation = 0


class Group:
    """Members, the assignment that is aimed at, and who holds each partition now."""

    def __init__(self) -> None:
        self.generation = 0
        self.members: dict[str, Member] = {}
        self.topics: list[str] = []
        self.target: dict[tuple[str, int], str] = {}
        self.holders: dict[tuple[str, int], str] = {}

    def rebalance(self, parts: int) -> None:
        self.generation += 1
        names = sorted(self.members)
        partitions = [(topic, number) for topic in self.topics for number in range(parts)]
        self.target = (
            {item: names[index % len(names)] for index, item in enumerate(partitions)}
            if names
            else {}
        )
        self.hand_over()

    def hand_over(self) -> None:
        """Gives each partition to its new member once the former one has let go of it."""
        for item, name in self.target.items():
            holder = self.holders.get(item)
            former = self.members.get(holder) if holder else None
            if holder == name:
                continue
            if former is None or former.generation >= self.generation:
                self.holders[item] = name

    def list_parts(self, name: str) -> list[list[Any]]:
        return [
            [topic, number, 0]
            for (topic, number), holder in sorted(self.holders.items())
            if holder == name and self.target.get((topic, number)) == name
        ]


class Store:
    """HTTP server of the store; ``put`` writes as the operator and the workers do."""

    def __init__(self, parts: int = 8) -> None:
        self.parts = parts
        self.address = ""
        # Sizes of the records that were over the limit.
        self.refused: list[int] = []
        self._partitions: dict[tuple[str, int], Partition] = {}
        self._groups: dict[str, Group] = {}
        self._runner: web.AppRunner | None = None

    async def start(self, address: str) -> None:
        self.address = address
        app = web.Application(client_max_size=4_000_000)
        app.add_routes(
            [
                web.post("/api/log-append", self._append),
                web.get("/api/log-read", self._read),
                web.get("/api/log-newest", self._newest),
                web.post("/api/log-join", self._join),
                web.post("/api/log-leave", self._leave),
                web.get("/api/log-owners", self._owners),
            ]
        )
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await self._runner.setup()
        host, _, port = address.rpartition(":")
        await web.TCPSite(self._runner, host, int(port)).start()

    async def stop(self) -> None:
        if self._runner is not None:
            await self._runner.cleanup()

    def partition(self, topic: str, number: int) -> Partition:
        return self._partitions.setdefault((topic, number), Partition())

    def put(self, topic: str, key: str, value: Any) -> None:
        data = b"" if value is None else json.dumps(value).encode()
        self.partition(topic, 0).append([bytes([len(key)]) + key.encode() + data])

    async def _append(self, request: web.Request) -> web.Response:
        query, body = request.query, await request.read()
        partition = self.partition(query["topic"], int(query["part"]))
        records, position = [], 0
        while position < len(body):
            (length,) = struct.unpack_from(">I", body, position)
            records.append(body[position + 4 : position + 4 + length])
            position += 4 + length
        if any(len(record) > RECORD_BYTES for record in records) or len(body) > REQUEST_BYTES:
            self.refused.append(max(len(record) for record in records))
            return web.json_response({"reason": "size"}, status=400)
        await asyncio.sleep(0.004)
        if "at" in query and int(query["at"]) != len(partition.records):
            return web.json_response({"endOffset": len(partition.records)}, status=412)
        producer = query.get("producer")
        if not producer:
            first, end = partition.append(records)
            return web.json_response({"offset": first, "endOffset": end})
        epoch, sequence = int(query["epoch"]), int(query["seq"])
        known, last, responses = partition.producers.get(producer, (-1, -1, {}))
        if epoch < known:
            return web.json_response({"reason": "fenced"}, status=409)
        if epoch > known:
            last, responses = sequence - 1, {}
        if sequence in responses:
            first, end = responses[sequence]
            return web.json_response({"offset": first, "endOffset": end})
        if sequence != last + 1:
            return web.json_response({"reason": "seq", "expected": last + 1}, status=409)
        first, end = partition.append(records)
        responses = dict(list(responses.items())[-4:]) | {sequence: (first, end)}
        partition.producers[producer] = (epoch, sequence, responses)
        return web.json_response({"offset": first, "endOffset": end})

    async def _read(self, request: web.Request) -> web.Response:
        query = request.query
        partition = self.partition(query["topic"], int(query["part"]))
        offset, wait = int(query["from"]), int(query.get("waitMs", 0)) / 1000
        if offset >= len(partition.records) and wait:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(partition.changed.wait(), wait)
        data = b"".join(struct.pack(">I", len(r)) + r for r in partition.records[offset:])
        return web.Response(body=struct.pack(">QQ", len(partition.records), 0) + data)

    async def _newest(self, request: web.Request) -> web.Response:
        query = request.query
        partition = self.partition(query["topic"], int(query["part"]))
        keys = sorted(key for key in partition.newest if key > query.get("after", ""))
        items = [
            {
                "key": key,
                "value": base64.b64encode(partition.newest[key][0]).decode(),
                "offset": partition.newest[key][1],
            }
            for key in keys[:PAGE_ITEMS]
        ]
        return web.json_response(
            {
                "items": items,
                "hasMore": len(keys) > PAGE_ITEMS,
                "endOffset": len(partition.records),
            }
        )

    def _expire(self, group: Group, keep: str = "") -> bool:
        now = asyncio.get_running_loop().time()
        gone = [n for n, m in group.members.items() if now - m.joined_at > m.ttl and n != keep]
        for name in gone:
            del group.members[name]
        return bool(gone)

    async def _join(self, request: web.Request) -> web.Response:
        body = await request.json()
        group = self._groups.setdefault(body["group"], Group())
        name = body["member"]
        changed = self._expire(group, name) or name not in group.members
        member = group.members.setdefault(name, Member())
        member.joined_at = asyncio.get_running_loop().time()
        member.ttl, member.generation = body["ttlMs"] / 1000, body.get("generation", 0)
        group.topics = body["topics"]
        if changed:
            group.rebalance(self.parts)
        else:
            group.hand_over()
        return web.json_response(
            {
                "generation": group.generation,
                "ttlMs": body["ttlMs"],
                "parts": group.list_parts(name),
            }
        )

    async def _leave(self, request: web.Request) -> web.Response:
        body = await request.json()
        group = self._groups.setdefault(body["group"], Group())
        if group.members.pop(body["member"], None) is not None:
            group.rebalance(self.parts)
        return web.json_response({})

    async def _owners(self, request: web.Request) -> web.Response:
        group = self._groups.setdefault(request.query["group"], Group())
        if self._expire(group):
            group.rebalance(self.parts)
        rows = [
            [topic, number, holder, 0] for (topic, number), holder in sorted(group.holders.items())
        ]
        return web.json_response({"owners": rows})
