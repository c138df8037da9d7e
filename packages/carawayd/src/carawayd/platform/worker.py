"""Client of the workers' control interface: status, revocation and tasks under leases."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

from carawayd.platform.common import PlatformClient, PlatformError, convert_response
from carawayd.platform.plugins import platform_client

if TYPE_CHECKING:
    from collections.abc import Callable

REVOCATION_STATES = ("not-run", "running", "finished")


class WorkerStatus(NamedTuple):
    """Status of a worker.

    Parameters
    ----------
    host, pool : str
    draining : bool
    slots, in_use : int
        Number of request slots, and of those in use.
    running, finished : frozenset of str
        Identifiers of requests.
    tasks : list of dict
        Tasks as the worker reports them.
    receiving : dict of str to int
        Bytes received so far of each request whose body is still arriving.
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
    """Sends control calls to any worker, whose address is an argument of each call."""

    force_close = True

    async def read_status(self, address: str, *, timeout: float) -> WorkerStatus:
        """Returns the status of a worker.

        Raises
        ------
        PlatformError
            If there was no valid response.
        """
        response = await self._call_worker("GET", address, "/v1/status", timeout=timeout)
        document = convert_response(response, dict[str, Any])
        defaults = WorkerStatus._field_defaults
        values = [document.get(name, defaults.get(name)) for name in WorkerStatus._fields]
        return convert_response(values, WorkerStatus)

    async def revoke(self, address: str, request: str, *, timeout: float) -> str:
        """Prevents a request that has not started from starting; returns its state.

        Raises
        ------
        PlatformError
            If there was no valid response.
        """
        path = f"/v1/requests/{request}/revoke"
        response = await self._call_worker("POST", address, path, timeout=timeout)
        state = response.get("state") if isinstance(response, dict) else None
        if state not in REVOCATION_STATES:
            accepted = ", ".join(REVOCATION_STATES)
            raise PlatformError(f"revocation state {state!r}, accepted: {accepted}")
        return state

    async def start_task(
        self,
        address: str,
        job: str,
        body: dict[str, Any],
        pool: str,
        may_send: Callable[[], bool],
    ) -> Any:
        """Starts a task; raises PlatformRefusal with status 409 if the lease is outdated.

        ``may_send`` is called before the call is sent. If it returns False, the call raises
        PermissionEnded and has no effect.
        """
        headers = {"Carawayshore-Pool": pool}
        return await self._call_task(
            "PUT", address, job, body=body, headers=headers, may_send=may_send
        )

    async def read_task(self, address: str, job: str) -> Any:
        """Returns the state of a task; raises PlatformRefusal with status 404 if it is unknown."""
        return await self._call_task("GET", address, job)

    async def change_task(self, address: str, job: str, verb: str, body: dict[str, Any]) -> Any:
        """Renews, checkpoints, throttles or stops a task."""
        return await self._call_task("POST", address, f"{job}/{verb}", body=body)

    async def _call_task(self, method: str, address: str, path: str, **options: Any) -> Any:
        """Calls with the short timeout of probes, to limit the delay of urgent work."""
        seconds = self.settings.options.probe.total_seconds()
        return await self._call_worker(
            method, address, f"/v1/tasks/{path}", timeout=seconds, **options
        )

    async def _call_worker(
        self,
        method: str,
        address: str,
        path: str,
        *,
        body: Any = None,
        timeout: float | None = None,
        headers: dict[str, str] | None = None,
        may_send: Callable[[], bool] | None = None,
    ) -> Any:
        url = f"http://{address}{path}"
        return await self.call(
            method, url, body=body, timeout=timeout, headers=headers, may_send=may_send
        )
