"""Client of the workers' control interface: status, revocation and tasks under leases."""

from __future__ import annotations

from typing import Any, NamedTuple

import msgspec

from carawayd.platform.common import PlatformClient, PlatformError
from carawayd.platform.plugins import platform_client

REVOCATION_STATES = ("not-run", "running", "finished")


class WorkerStatus(NamedTuple):
    """``running`` and ``finished`` are identifiers of requests.

    ``receiving`` has the bytes received so far of requests whose body is still arriving.
    """

    host: str
    pool: str
    draining: bool
    slots: int
    in_use: int
    running: frozenset[str]
    finished: frozenset[str]
    tasks: list[dict[str, Any]]
    receiving: dict[str, int] = {}


@platform_client("worker")
class WorkerClient(PlatformClient):
    """Control calls to every worker; the address is given with each call."""

    force_close = True

    async def read_status(self, address: str, *, timeout: float) -> WorkerStatus:
        """Returns what the worker runs.

        Raises
        ------
        PlatformError
            If there was no valid answer.
        """
        answer = await self._call_worker("GET", address, "/v1/status", timeout=timeout)
        try:
            defaults = WorkerStatus._field_defaults
            values = [
                answer.get(name, defaults[name]) if name in defaults else answer[name]
                for name in WorkerStatus._fields
            ]
            return msgspec.convert(values, WorkerStatus)
        except (AttributeError, KeyError, TypeError, msgspec.ValidationError) as error:
            raise PlatformError(f"malformed status of worker {address}: {error!r}") from error

    async def revoke(self, address: str, request: str, *, timeout: float) -> str:
        """Makes sure that a request that did not start never starts; returns its state.

        Raises
        ------
        PlatformError
            If there was no valid answer.
        """
        path = f"/v1/requests/{request}/revoke"
        answer = await self._call_worker("POST", address, path, timeout=timeout)
        state = answer.get("state") if isinstance(answer, dict) else None
        if state not in REVOCATION_STATES:
            accepted = ", ".join(REVOCATION_STATES)
            raise PlatformError(f"revocation state {state!r}, accepted: {accepted}")
        return state

    async def start_task(self, address: str, job: str, body: dict[str, Any]) -> Any:
        """Starts a task; PlatformRefusal with status 409 tells that the lease is too old."""
        return await self._call_worker("PUT", address, f"/v1/tasks/{job}", body=body)

    async def read_task(self, address: str, job: str) -> Any:
        """Returns the state of a task; PlatformRefusal with status 404 if it is not known."""
        return await self._call_worker("GET", address, f"/v1/tasks/{job}")

    async def change_task(self, address: str, job: str, verb: str, body: dict[str, Any]) -> Any:
        """Renews, checkpoints, throttles or stops a task."""
        return await self._call_worker("POST", address, f"/v1/tasks/{job}/{verb}", body=body)

    async def _call_worker(
        self,
        method: str,
        address: str,
        path: str,
        *,
        body: Any = None,
        timeout: float | None = None,
    ) -> Any:
        return await self.call(method, f"http://{address}{path}", body=body, timeout=timeout)
