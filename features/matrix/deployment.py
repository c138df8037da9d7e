"""Deployment that serves the cells of the request matrix, with cumulative, resettable faults."""

from __future__ import annotations

import asyncio
import json
from datetime import timedelta
from typing import TYPE_CHECKING, Any

import aiohttp
from proxies import Proxy

from carawayshore.clock import SystemClock
from carawayshore_standins.launcher import Launcher

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

MEMBERS = ("umea-1", "umea-2", "umea-3")
TARGETS = ("umea-w1", "umea-w2")
STANDINS = ("log", "hostlist", "pools", "umea-w1", "umea-w2", "umea-w3")
SLOTS = 8  # With 4, one of three entry hosts happens to own no slot and depends on loans.
POLL_INTERVAL = timedelta(milliseconds=20)
RESET_TIMEOUT_S = 20.0
# An entry host retries an ejected target after 1 s, 2 s and so on, up to 60 s.
TARGET_USE_TIMEOUT_S = 5.0
DOCUMENT: dict[str, Any] = {
    "data_centres": ["umea"],
    "pools": {"booking": {"max_waiting": 256}, "office": {}},
    # A retry share of 1 keeps the retry budget, tested elsewhere, from affecting the results.
    "services": {
        "booking": {"pool": "booking", "retry_share": 1.0, "max_unavailable": 2},
        "office": {"pool": "office"},
    },
}
DESCRIPTION = {
    "data_centres": {
        "umea": {"entry_hosts": 3, "pools": {"booking": {"workers": 2}, "office": {"workers": 1}}}
    },
    "worker": {"slots": SLOTS},
    "options": {"balancer_delay_seconds": 0.5},
    "configuration": DOCUMENT,
}


class Relay(Proxy):
    """Forwards the connections from one entry host to another unless the link is cut."""

    def __init__(self, sender: str, receiver: str, address: str, upstream: str) -> None:
        super().__init__(address, upstream)
        self.endpoints = {sender, receiver}
        self.cut = False

    async def _should_forward(self, writer: asyncio.StreamWriter, direction: str) -> bool:
        return not self.cut

    def heal(self) -> None:
        """Restores a cut link and closes the connections that lost bytes."""
        if self.cut:
            self.cut = False
            self.reset()


class Deployment(Launcher):
    """One data centre whose entry hosts reach each other through relays."""

    def __init__(self, folder: Path) -> None:
        super().__init__(DESCRIPTION, folder, clock=SystemClock())
        self.clock = self._clock
        self.relays: list[Relay] = []
        self._faults: dict[str, dict[str, Any]] = {}
        self._probes = 0
        self._unused_targets: set[tuple[str, str]] = set()
        for spec in self._groups[-1]:
            self._insert_relays(spec.name, spec.settings["peers"])

    def _insert_relays(self, sender: str, peers: list[dict[str, str]]) -> None:
        for peer in peers:
            address, upstream = self._ports.reserve(), peer["peer_address"]
            self.relays.append(Relay(sender, peer["member"], address, upstream))
            peer["peer_address"] = address

    async def __aenter__(self) -> Deployment:
        for relay in self.relays:
            await relay.start()
        await super().__aenter__()
        await self.wait_settled()
        return self

    async def __aexit__(self, *details: object) -> None:
        await super().__aexit__(*details)
        for relay in self.relays:
            relay.close()

    async def wait_until(
        self, condition: Callable[[], Any], condition_name: str, seconds: float
    ) -> None:
        """Waits for a condition, given as a function or a coroutine function.

        Raises
        ------
        TimeoutError
            If the condition does not hold within ``seconds``.
        """
        limit = self.clock.elapsed() + timedelta(seconds=seconds)
        while True:
            result = condition()
            if await result if asyncio.iscoroutine(result) else result:
                return
            if self.clock.elapsed() > limit:
                raise TimeoutError(f"waiting for {condition_name} timed out after {seconds:g} s")
            await self.clock.sleep(POLL_INTERVAL)

    async def add_fault(self, name: str, **faults: Any) -> None:
        """Adds to the active faults of a stand-in."""
        self._faults[name] = self._faults.get(name, {}) | faults
        await self.set_faults(name, **self._faults[name])
        self._faults[name].pop("silent", None)

    async def call(self, method: str, url: str, **body: Any) -> tuple[int, Any]:
        """Sends a control call and returns status and body; the status is 0 without an answer."""
        try:
            async with self._session.request(method, f"http://{url}", json=body or None) as answer:
                return answer.status, await answer.json()
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            return 0, repr(error)

    async def operate(self, member: str, path: str, **body: Any) -> tuple[int, Any]:
        address = self.get_address(member, "operator")
        return await self.call("POST", f"{address}/v1/operator/{path}", **body)

    async def read_log(self, stream: str, offset: int) -> list[dict[str, Any]]:
        """Returns the records of a stream from ``offset`` on, read from the log service."""
        url = f"{self.get_address('log')}/v1/streams/{stream}/records?from={offset}&limit=10000"
        status, answer = await self.call("GET", url)
        if status != 200:
            raise RuntimeError(f"reading the log failed with status {status}: {answer}")
        return answer["records"]

    async def read_status(self, target: str) -> dict[str, Any]:
        status, answer = await self.call("GET", f"{self.get_address(target)}/v1/status")
        return answer if status == 200 else {}

    async def reset(self) -> bool:
        """Ends all faults, restarts killed processes, and waits until all of them serve again.

        Returns
        -------
        bool
            Whether every entry host uses every target again.

        Raises
        ------
        TimeoutError
            If the deployment does not recover.
        """
        for relay in self.relays:
            relay.heal()
        for name, process in self.processes.items():
            if process.is_running():
                self.resume(name)
        stopped = [n for n, process in self.processes.items() if not process.is_running()]
        await asyncio.gather(*(self.start(n) for n in stopped if n not in MEMBERS))
        await asyncio.gather(*(self.set_faults(name) for name in STANDINS))
        await asyncio.gather(*(self.start(n) for n in stopped if n in MEMBERS))
        self._faults.clear()
        await self._return_targets()
        return await self.wait_settled()

    async def _return_targets(self) -> None:
        for target in TARGETS:
            status, host = await self.call("GET", f"{self.get_address('pools')}/v1/hosts/{target}")
            if host["state"] == "serving":
                if (await self.read_status(target)).get("draining"):
                    url = f"{self.get_address(target)}/v1/control/return"
                    await self.call("POST", url, pool="booking")
                continue
            await self.wait_until(
                lambda name=target: self._is_returned(name), f"return of {target}", RESET_TIMEOUT_S
            )

    async def _is_returned(self, target: str) -> bool:
        await self.operate(MEMBERS[1], f"hosts/{target}/return")
        _, host = await self.call("GET", f"{self.get_address('pools')}/v1/hosts/{target}")
        return host["state"] == "serving"

    async def wait_settled(self) -> bool:
        """Waits until keyed requests succeed through every entry host.

        Returns
        -------
        bool
            Whether every entry host also uses both targets.
        """
        self._unused_targets = {(member, target) for member in MEMBERS for target in TARGETS}
        await self.wait_until(
            self._are_keys_granted, "grant of keys through all entry hosts", RESET_TIMEOUT_S
        )
        try:
            await self.wait_until(
                self._are_targets_used, "use of all targets", TARGET_USE_TIMEOUT_S
            )
        except TimeoutError:
            return False
        return True

    async def _are_keys_granted(self) -> bool:
        return all(await asyncio.gather(*(self._probe(member) for member in MEMBERS * 4)))

    async def _are_targets_used(self) -> bool:
        # An entry host uses its own slots first, so only surplus requests reach every target.
        await asyncio.gather(*(self._probe(member, 0.1) for member in MEMBERS * 6))
        return not self._unused_targets

    async def _probe(self, member: str, work_seconds: float = 0.01) -> bool:
        self._probes += 1
        headers = {"Idempotency-Key": f"umea:probe-{self._probes}"}
        headers["Work-Seconds"] = f"{work_seconds:g}"
        url = f"http://{self.get_address(member, 'caller')}/services/booking/probe-{self._probes}"
        try:
            async with self._session.post(url, headers=headers) as answer:
                text = await answer.text()
        except (aiohttp.ClientError, TimeoutError):
            return False
        if answer.status == 200:
            self._unused_targets.discard((member, json.loads(text)["host"]))
        return answer.status == 200
