"""Two data centres with short claims and leases; their entry hosts are connected by relays."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import aiohttp

from carawayshore.clock import SystemClock
from carawayshore_standins.launcher import Launcher
from matrix.deployment import Deployment

if TYPE_CHECKING:
    from pathlib import Path

MEMBERS = ("umea-1", "umea-2", "umea-3")
REMOTE_MEMBER = "lulea-1"
BOOKING_WORKERS = ("umea-w1", "umea-w2", "umea-w3", "umea-w4")
WORKERS = (*BOOKING_WORKERS, "umea-w5", "umea-w6", "lulea-w1")
PLATFORM = ("log", "hostlist", "pools")
STREAM = "dc.umea"
UNAVAILABLE_BUDGET = 2
LEASE_SECONDS = 3.0
RETENTION_RECORDS = 100
RESET_TIMEOUT_S = 40.0
DOCUMENT: dict[str, Any] = {
    "data_centres": ["umea", "lulea"],
    "pools": {"booking": {}, "office": {}},
    "services": {
        "booking": {"pool": "booking", "retry_share": 1.0, "max_unavailable": UNAVAILABLE_BUDGET},
        "office": {"pool": "office", "max_unavailable": 1},
    },
    "queues": {"routes": {"pool": "booking", "service": "booking"}},
}
DESCRIPTION = {
    "data_centres": {
        "umea": {"entry_hosts": 3, "pools": {"booking": {"workers": 4}, "office": {"workers": 2}}},
        "lulea": {"entry_hosts": 1, "pools": {"booking": {"workers": 1}}},
    },
    "worker": {"slots": 8, "processors": 16},
    "pools": {"reboot_seconds": 0.3},
    "options": {
        "claim_lifetime_seconds": 2.0,
        "claim_margin_seconds": 0.4,
        "heartbeat_seconds": 0.1,
        "peer_silence_seconds": 1.0,
        "hostlist_interval_seconds": 0.3,
        "hostlist_lag_seconds": 60.0,
        "balancer_delay_seconds": 0.1,
        "controller_seconds": 0.05,
        "lease_seconds": LEASE_SECONDS,
        "task_poll_seconds": 0.3,
        "probe_seconds": 0.5,
        "snapshot_records": 20,
    },
    "configuration": DOCUMENT,
}


class FleetDeployment(Deployment):
    """Deployment that serves the cells of the fleet matrix."""

    def __init__(self, folder: Path) -> None:
        Launcher.__init__(self, DESCRIPTION, folder, clock=SystemClock())
        self.clock = self._clock
        self.relays = []
        self._faults = {}
        for spec in self._groups[-1]:
            self._insert_relays(spec.name, spec.settings["peers"])

    async def call_operator_api(self, member: str, path: str) -> tuple[int, Any]:
        address = self.get_address(member, "operator")
        return await self.call("GET", f"{address}/v1/operator/{path}")

    async def call_caller_api(self, method: str, member: str, path: str, **body: Any):
        """Returns status, outcome and body of a caller's call; status 0 without an answer."""
        url = f"http://{self.get_address(member, 'caller')}{path}"
        try:
            async with self._session.request(method, url, json=body or None) as answer:
                outcome = answer.headers.get("Carawayshore-Outcome", "")
                return answer.status, outcome, await answer.json()
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            return 0, "", repr(error)

    async def send_request(self, member: str, path: str, **headers: str) -> tuple[int, str]:
        url = f"http://{self.get_address(member, 'caller')}/services/{path}"
        method = self._session.post if "Idempotency-Key" in headers else self._session.get
        try:
            async with method(url, headers=headers) as answer:
                await answer.read()
                return answer.status, answer.headers.get("Carawayshore-Outcome", "")
        except (aiohttp.ClientError, TimeoutError):
            return 0, ""

    async def find_holder(self, claim: str) -> str:
        """Returns the holder of a claim, the entry host that a cell's faults affect.

        An entry host that was cut off reports a former holder until it has caught up, so this waits
        until all entry hosts report the same one.
        """
        named: set[str] = set()

        async def is_agreed() -> bool:
            named.clear()
            for member in MEMBERS:
                status, dump = await self.call_operator_api(member, "dump")
                claims = dump["streams"][STREAM]["claims"]["shown"] if status == 200 else {}
                named.add(claims[claim]["member"] if claim in claims else "")
            return len(named) == 1 and "" not in named

        await self.wait_until(is_agreed, f"agreement on the holder of {claim!r}", RESET_TIMEOUT_S)
        return named.pop()

    async def read_host(self, host: str) -> dict[str, Any]:
        status, answer = await self.call("GET", f"{self.get_address('pools')}/v1/hosts/{host}")
        return answer if status == 200 else {}

    async def read_version(self, member: str) -> int:
        status, answer = await self.call_operator_api(member, "configuration")
        return answer["version"] if status == 200 else -1

    async def publish(self, member: str, **changes: Any) -> tuple[int, Any]:
        base = await self.read_version(member)
        document = DOCUMENT | changes
        return await self.operate(
            member, "configuration", base_version=base, document=document, author="matrix"
        )

    async def heal(self) -> None:
        """Ends all faults and restarts the killed processes."""
        for relay in self.relays:
            relay.heal()
        for name, process in self.processes.items():
            if process.is_running():
                self.resume(name)
        stopped = [n for n, process in self.processes.items() if not process.is_running()]
        await asyncio.gather(*(self.start(n, wait=False) for n in stopped if n in WORKERS))
        for name in set(stopped) & set(WORKERS):
            # On a drained host, a worker answers status calls but does not become ready.
            await self.wait_until(lambda n=name: self.read_status(n), name, RESET_TIMEOUT_S)
        await asyncio.gather(
            *(
                self.wait_until(lambda n=name: self._end_faults(n), name, RESET_TIMEOUT_S)
                for name in (*PLATFORM, *WORKERS)
            )
        )
        await asyncio.gather(*(self.start(n) for n in stopped if n not in WORKERS))
        self._faults.clear()

    async def _end_faults(self, name: str) -> bool:
        """Ends the faults of a stand-in; returns False if a reboot has just ended its process."""
        try:
            await self.set_faults(name)
        except aiohttp.ClientConnectionError:
            return False
        return True

    async def reset(self) -> bool:
        """Ends all faults and returns every host to its initial pool."""
        await self.heal()
        await self.wait_until(self._is_published, "maintenance off", RESET_TIMEOUT_S)
        await self.wait_until(self._is_serving, "all hosts serving in their pools", RESET_TIMEOUT_S)
        return True

    async def _is_published(self) -> bool:
        status, answer = await self.call_operator_api(MEMBERS[0], "configuration")
        enabled = status == 200 and answer["document"].get("maintenance", {}).get("enabled")
        return status == 200 and (not enabled or (await self.publish(MEMBERS[0]))[0] == 200)

    async def _is_serving(self) -> bool:
        serving = True
        for number, host in enumerate(WORKERS):
            pool = "office" if number in (4, 5) else "booking"
            found = await self.read_host(host)
            worker = await self.read_status(host)
            if found.get("state") != "serving":
                await self.operate(MEMBERS[0], f"hosts/{host}/return")
            elif found["pool"] != pool:
                await self.operate(MEMBERS[0], f"hosts/{host}/move?over_budget=true", pool=pool)
            elif not worker.get("draining", True) and worker["pool"] == pool:
                continue
            serving = False
        return serving

    async def wait_settled(self) -> bool:
        for claim in ("fleet", "jobs"):
            await self.find_holder(claim)
        await self.wait_until(self._are_hosts_added, "hosts in the log", RESET_TIMEOUT_S)
        await self.wait_until(self._is_serving, "all hosts serving", RESET_TIMEOUT_S)
        return True

    async def _are_hosts_added(self) -> bool:
        _, hosts = await self.call_operator_api(MEMBERS[0], "hosts")
        return len(hosts["hosts"]) == len(WORKERS) - 1
