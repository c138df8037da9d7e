"""Client of the machines service: lists machines, moves them between pools, starts their upkeep."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple, NotRequired, TypedDict
from urllib.parse import urlencode

import msgspec

from carawayd.platform.common import PlatformClient, PlatformError, PlatformRefusal
from carawayd.platform.plugins import platform_client
from carawayd.unreadable import unreadable_records
from carawayshore.decoding import Identifier, MalformedDocument, Quantity, decode_json
from carawayshore.workflows.model import Machine

if TYPE_CHECKING:
    from collections.abc import Callable

MACHINE_STATES = {"up": "up", "moving": "moving", "upkeep": "upkeep", "down": "down"}
# Name of the list in metrics and log lines.
MACHINE_LIST = "machines"
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


class MachineList(NamedTuple):
    """Machines that the service listed.

    Parameters
    ----------
    machines : list of Machine
    is_complete : bool
        Whether a machine that is not in the list was not listed; otherwise it may be one whose item
        could not be read.
    """

    machines: list[Machine]
    is_complete: bool


class _CapacityDocument(TypedDict):
    cpu: NotRequired[Quantity | None]


class _MachineDocument(TypedDict):
    machine: Identifier
    pool: NotRequired[str | None]
    state: NotRequired[str | None]
    zone: NotRequired[str | None]
    labels: NotRequired[list[str] | None]
    capacity: NotRequired[_CapacityDocument | None]
    id: NotRequired[str | None]


class _MachineName(TypedDict):
    machine: Identifier


class _MachinePage(TypedDict):
    machines: list[msgspec.Raw]
    nextPageToken: NotRequired[str | int | None]


@platform_client("machines")
class MachinesClient(PlatformClient):
    """Lists machines and sends orders.

    Each order names its holder and fencing token, which the service need not check.
    """

    async def list_machines(self) -> MachineList:
        """Returns all machines; raises PlatformError if there was no valid response.

        The pages of the list are not a snapshot: a machine that changes meanwhile may be missing.
        """
        machines: list[Machine] = []
        is_complete = True
        token = ""
        for _ in range(MAX_PAGES):
            path = "/api/machines" + (f"?{urlencode({'pageToken': token})}" if token else "")
            page = await self.call("GET", path, timeout=CALL_TIMEOUT_SECONDS, kind=_MachinePage)
            decoded = _decode_machines(page["machines"])
            machines += decoded
            is_complete = is_complete and len(decoded) == len(page["machines"])
            token = str(page.get("nextPageToken") or "")
            if not token:
                return MachineList(machines, is_complete)
        raise PlatformError(f"the list of machines does not end after {MAX_PAGES} pages")

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
            reason = refusal.reason if refusal.status == 409 else ""
            raise MachineRefused(reason or f"status {refusal.status}") from refusal

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


def _decode_machines(items: list[msgspec.Raw]) -> list[Machine]:
    """Returns the machines of a page; a malformed item costs that machine alone.

    A machine whose item names it counts as down, so that the limit of a wave still covers it.
    """
    machines = []
    for number, item in enumerate(items):
        try:
            machines.append(_decode_machine(decode_json(item, _MachineDocument)))
        except MalformedDocument as error:
            try:
                name = decode_json(item, _MachineName)["machine"]
            except MalformedDocument:
                unreadable_records.note(MACHINE_LIST, f"item {number}", error)
                continue
            unreadable_records.note(MACHINE_LIST, name, error)
            machines.append(Machine(name, "", "down", "", (), 0, ""))
    return machines


def _decode_machine(item: _MachineDocument) -> Machine:
    capacity = item.get("capacity") or {}
    return Machine(
        machine=item["machine"],
        pool=item.get("pool") or "",
        state=MACHINE_STATES.get(item.get("state") or "", "down"),
        data_centre=item.get("zone") or "",
        labels=tuple(item.get("labels") or ()),
        millicores=int(capacity.get("cpu") or 0),
        worker=item.get("id") or "",
    )
