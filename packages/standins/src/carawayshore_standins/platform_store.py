"""Stand-in of the users' platform store: keyed topics, producer epochs, and groups."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import struct
from typing import Any

from aiohttp import web

READ_LIMIT_SECONDS = 30.0


class Partition:
    """Records of one partition; records before ``start`` have expired."""

    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.start = 0
        self.producers: dict[str, tuple[int, int, dict[int, tuple[int, int]]]] = {}
        self.changed = asyncio.Event()

    @property
    def end(self) -> int:
        return self.start + len(self.records)

    def append(self, records: list[bytes]) -> tuple[int, int]:
        first = self.end
        self.records += records
        self.changed.set()
        self.changed = asyncio.Event()
        return first, self.end


class Member:
    def __init__(self) -> None:
        self.seen_at = 0.0
        self.known = 0
        self.ttl = 1.0


class Group:
    """Deals partitions evenly; one that changes hands is withheld until the former has let go."""

    def __init__(self) -> None:
        self.generation = 0
        self.members: dict[str, Member] = {}
        self.owners: dict[tuple[str, int], str] = {}


class PlatformStore:
    """The store; ``outage`` answers 503, ``lose_answers`` drops so many answers after the
    effect."""

    def __init__(self, partitions: int = 4) -> None:
        self.partitions = partitions
        self.outage = False
        self.silent = False
        self.append_delay = 0.0
        self.lose_answers = 0
        # Workers that the placement policy allows, with the ticket of each.
        self.allowed: dict[str, str] = {}
        self.advice_calls: list[tuple[str, list[str]]] = []
        self.appends: list[tuple[str, int, str, int]] = []
        self.newest: dict[tuple[str, int], dict[str, tuple[bytes, int]]] = {}
        self._parts: dict[tuple[str, int], Partition] = {}
        self._groups: dict[str, Group] = {}
        self._runner: web.AppRunner | None = None

    async def start(self, address: str) -> None:
        application = web.Application(client_max_size=4_000_000, middlewares=[self._fail])
        application.add_routes(
            [
                web.post("/api/log-append", self._append),
                web.get("/api/log-read", self._read),
                web.get("/api/log-newest", self._newest),
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
    async def _fail(self, request: web.Request, handler) -> web.StreamResponse:
        if self.silent:
            await asyncio.sleep(READ_LIMIT_SECONDS)
        if self.outage:
            return web.Response(status=503)
        answer = await handler(request)
        if self.lose_answers > 0 and request.method == "POST":
            self.lose_answers -= 1
            request.transport.close()
        return answer

    def partition(self, topic: str, number: int) -> Partition:
        """Returns a partition, which exists from its first use."""
        return self._parts.setdefault((topic, number), Partition())

    def put(self, topic: str, key: str, value: Any) -> None:
        """Writes a record as the operator or a worker does."""
        text = b"" if value is None else json.dumps(value).encode()
        self._store(topic, 0, [bytes([len(key)]) + key.encode() + text])

    def expire(self, topic: str, number: int = 0) -> None:
        """Forgets the history but for the newest record of each key."""
        part = self.partition(topic, number)
        part.start, part.records = part.end, []

    def deal_anew(self, group: str) -> None:
        """Gives every partition to another member at once."""
        state = self._groups[group]
        names = sorted(state.members)
        state.generation += 1
        state.owners = {
            part: names[(names.index(owner) + 1) % len(names)]
            for part, owner in state.owners.items()
        }

    def _store(self, topic: str, number: int, records: list[bytes]) -> tuple[int, int]:
        first, end = self.partition(topic, number).append(records)
        newest = self.newest.setdefault((topic, number), {})
        for place, record in enumerate(records):
            length = record[0]
            key, value = record[1 : 1 + length].decode(), record[1 + length :]
            if value:
                newest[key] = (value, first + place)
            else:
                newest.pop(key, None)
        return first, end

    async def _append(self, request: web.Request) -> web.Response:
        if self.append_delay:
            await asyncio.sleep(self.append_delay)
        query = request.query
        topic, number = query["topic"], int(query["part"])
        part = self.partition(topic, number)
        body = await request.read()
        records, place = [], 0
        while place < len(body):
            (length,) = struct.unpack_from(">I", body, place)
            records.append(body[place + 4 : place + 4 + length])
            place += 4 + length
        if "at" in query and int(query["at"]) != part.end:
            return web.json_response({"endOffset": part.end}, status=412)
        producer = query.get("producer")
        if producer:
            epoch, sequence = int(query["epoch"]), int(query["seq"])
            known, last, answers = part.producers.get(producer, (-1, -1, {}))
            if epoch < known:
                return web.json_response({"reason": "fenced"}, status=409)
            if epoch > known:
                last, answers = sequence - 1, {}
            if records and sequence in answers:
                first, end = answers[sequence]
                return web.json_response({"offset": first, "endOffset": end})
            if records and sequence != last + 1:
                return web.json_response({"reason": "seq", "expected": last + 1}, status=409)
        first, end = self._store(topic, number, records)
        if producer:
            if records:
                answers = dict(list(answers.items())[-4:]) | {sequence: (first, end)}
            part.producers[producer] = (epoch, sequence, answers)
            self.appends.append((topic, number, producer, epoch))
        return web.json_response({"offset": first, "endOffset": end})

    async def _read(self, request: web.Request) -> web.Response:
        query = request.query
        part = self.partition(query["topic"], int(query["part"]))
        offset, wait = int(query["from"]), int(query.get("waitMs", 0)) / 1000
        if offset < part.start:
            return web.json_response({"startOffset": part.start}, status=410)
        if offset >= part.end and wait:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(part.changed.wait(), wait)
        records = part.records[max(0, offset - part.start) :]
        data = b"".join(struct.pack(">I", len(record)) + record for record in records)
        return web.Response(body=struct.pack(">QQ", part.end, part.start) + data)

    async def _newest(self, request: web.Request) -> web.Response:
        query = request.query
        topic, number = query["topic"], int(query["part"])
        keys = sorted(key for key in self.newest.get((topic, number), {}))
        keys = [key for key in keys if key > query.get("after", "")]
        items = []
        for key in keys[:500]:
            value, offset = self.newest[topic, number][key]
            encoded = base64.b64encode(value).decode()
            items.append({"key": key, "value": encoded, "offset": offset})
        end = self.partition(topic, number).end
        return web.json_response({"items": items, "hasMore": len(keys) > 500, "endOffset": end})

    def _deal(self, group: Group, topics: list[str]) -> None:
        """Shares the partitions out evenly and counts a generation if anything has changed."""
        names = sorted(group.members)
        parts = [(topic, number) for topic in topics for number in range(self.partitions)]
        owners = (
            {part: names[place % len(names)] for place, part in enumerate(parts)} if names else {}
        )
        if owners != group.owners:
            group.owners = owners
        group.generation += 1

    async def _join(self, request: web.Request) -> web.Response:
        body = await request.json()
        group = self._groups.setdefault(body["group"], Group())
        now = asyncio.get_running_loop().time()
        gone = [
            name
            for name, member in group.members.items()
            if now - member.seen_at > member.ttl and name != body["member"]
        ]
        for name in gone:
            del group.members[name]
        new = body["member"] not in group.members
        member = group.members.setdefault(body["member"], Member())
        member.seen_at, member.ttl = now, body["ttlMs"] / 1000
        member.known = body.get("generation", 0)
        if new or gone:
            self._deal(group, body["topics"])
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
            self._deal(group, sorted({topic for topic, _ in group.owners}))
        return web.json_response({})

    async def _owners(self, request: web.Request) -> web.Response:
        group = self._groups.setdefault(request.query["group"], Group())
        rows = [[topic, number, owner, 0] for (topic, number), owner in group.owners.items()]
        return web.json_response({"owners": rows})

    async def _advise(self, request: web.Request) -> web.Response:
        body = await request.json()
        self.advice_calls.append((body["step"], body["workers"]))
        rows = [[name, self.allowed[name]] for name in body["workers"] if name in self.allowed]
        return web.json_response({"allowed": rows, "validMs": 3000})
