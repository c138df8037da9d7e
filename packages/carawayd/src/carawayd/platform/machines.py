"""Client of the machines service: lists machines, moves them between pools, starts their upkeep."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any
from urllib.parse import urlencode

from carawayd.platform.common import PlatformClient, PlatformError, PlatformRefusal
from carawayd.platform.plugins import platform_client
from carawayshore.workflows.model import Machine

if TYPE_CHECKING:
    from collections.abc import Callable

MACHINE_STATES = {"up": "up", "moving": "moving", "upkeep": "upkeep", "down": "down"}
CALL_TIMEOUT_SECONDS = 1.5
MAX_PAGES = 1_000


class MachineRefused(PlatformError):
    """The service refused an order, which had no effect.

    Parameters
    ----------
    reason : str
        ``fence``, ``busy``, ``wave`` or an HTTP status.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(f"machine order refused: {reason}")
        self.reason = reason


@platform_client("machines")
class MachinesClient(PlatformClient):
    """Lists machines and sends orders.

    Each order names its holder and fencing token, which the service need not check.
    """

    async def list_machines(self) -> list[Machine]:
        """Returns all machines; raises PlatformError if there was no valid response."""
        machines: list[Machine] = []
        token = ""
        for _ in range(MAX_PAGES):
            path = "/api/machines" + (f"?{urlencode({'pageToken': token})}" if token else "")
            document = await self.call("GET", path, timeout=CALL_TIMEOUT_SECONDS)
            try:
                machines += [_decode_machine(item) for item in document["machines"]]
                token = str(document.get("nextPageToken") or "")
            except (KeyError, TypeError, ValueError, AttributeError) as error:
                raise PlatformError(f"malformed list of machines: {error!r}") from error
            if not token:
                break
        return machines

    async def _order(
        self,
        path: str,
        body: dict[str, Any],
        holder: str,
        fence: int,
        may_send: Callable[[], bool],
    ) -> None:
        headers = {"Lease-Holder": holder, "Fencing-Token": str(fence)}
        try:
            await self.call(
                "POST",
                path,
                body=body,
                headers=headers,
                timeout=CALL_TIMEOUT_SECONDS,
                may_send=may_send,
            )
        except PlatformRefusal as refusal:
            document = refusal.document if isinstance(refusal.document, dict) else {}
            reason = document.get("reason") if refusal.status == 409 else None
            raise MachineRefused(str(reason or f"status {refusal.status}")) from refusal

    async def move(
        self, machine: str, pool: str, *, holder: str, fence: int, may_send: Callable[[], bool]
    ) -> None:
        """Moves a machine to a pool, which ends everything that runs on it at once.

        ``may_send`` is called before the order is sent.

        Raises
        ------
        MachineRefused, PlatformUnreached
            If the order had no effect.
        PlatformError
            If it is unknown whether the move has started or will start.
        """
        body = {"machine": machine, "pool": pool}
        await self._order("/api/machine-move", body, holder, fence, may_send)

    async def begin_upkeep(
        self, machine: str, wave: int, *, holder: str, fence: int, may_send: Callable[[], bool]
    ) -> None:
        """Starts the upkeep of a machine; raises the same errors as :meth:`move`."""
        body = {"machine": machine, "wave": wave}
        await self._order("/api/machine-upkeep", body, holder, fence, may_send)


def _decode_machine(item: dict[str, Any]) -> Machine:
    capacity = item.get("capacity") or {}
    return Machine(
        machine=str(item["machine"]),
        pool=str(item.get("pool") or ""),
        state=MACHINE_STATES.get(item.get("state"), "down"),
        data_centre=str(item.get("zone") or ""),
        labels=tuple(str(label) for label in item.get("labels") or ()),
        millicores=int(capacity.get("cpu") or 0),
        worker=str(item.get("id") or ""),
    )
