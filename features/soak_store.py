"""Store of the soak: reports different batches that owners send under one number."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawayshore_standins.platform_store import PlatformStore

if TYPE_CHECKING:
    from aiohttp import web


class CheckedStore(PlatformStore):
    """Store that checks that epoch and sequence number identify one batch of a partition.

    The store answers a batch under a known number with the response to the first one and drops it.
    So a second batch under that number is lost although its sender takes it to be stored.

    Attributes
    ----------
    reused_numbers : list of str
        Each number under which a second batch arrived.
    """

    def __init__(self) -> None:
        super().__init__()
        self.reused_numbers: list[str] = []
        self._batches: dict[str, bytes] = {}

    def get_generation(self) -> int:
        """Returns the generation of the owners' group, 0 before its first member."""
        group = self._groups.get("owners")
        return group.generation if group is not None else 0

    async def _append(self, request: web.Request) -> web.Response:
        batch = await request.read()
        query = request.query
        if query.get("producer") and batch:
            number = "{topic}/{part}, epoch {epoch}, sequence number {seq}".format_map(query)
            if self._batches.setdefault(number, batch) != batch:
                self.reused_numbers.append(number)
        return await super()._append(request)
