"""Client of the placement policy service, which decides on which workers a step may run."""

from __future__ import annotations

from typing import NamedTuple, NotRequired, TypedDict

import msgspec

from carawayd.platform.common import PlatformClient
from carawayd.platform.plugins import platform_client
from carawayshore.decoding import Milliseconds


class Advice(NamedTuple):
    """Answer of the placement policy service.

    Parameters
    ----------
    tickets : dict of str to str
        Ticket of each worker that may run the step.
    valid_seconds : float
        Time for which the tickets are valid.
    """

    tickets: dict[str, str]
    valid_seconds: float


class _TicketRow(msgspec.Struct, array_like=True):
    worker: str
    ticket: str | int


class _AdviceDocument(TypedDict):
    allowed: list[_TicketRow]
    validMs: NotRequired[Milliseconds | None]


@platform_client("advice")
class AdviceClient(PlatformClient):
    """Requests tickets for one step per call; the service queues the calls of a host."""

    async def advise(
        self, workflow: str, occurrence: int, step: int, workers: list[str], *, timeout: float
    ) -> Advice:
        """Returns tickets for those of ``workers`` that may run a step.

        Raises
        ------
        PlatformRefusal
            If too many calls of this host are queued at the service.
        PlatformError
            If there was no valid response.
        """
        body = {"step": f"{workflow}.{occurrence}.{step}", "workers": workers}
        document = await self.call(
            "POST", "/api/advise", body=body, timeout=timeout, kind=_AdviceDocument
        )
        tickets = {row.worker: str(row.ticket) for row in document["allowed"]}
        return Advice(tickets, (document.get("validMs") or 0) / 1000)
