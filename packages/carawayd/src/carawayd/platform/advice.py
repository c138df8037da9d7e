"""Client of the placement policy service, which tells on which workers a step may run."""

from __future__ import annotations

from typing import NamedTuple

from carawayd.platform.common import PlatformClient, PlatformError
from carawayd.platform.plugins import platform_client


class Advice(NamedTuple):
    """Tickets of the workers that may run a step, and for how many seconds they are valid."""

    tickets: dict[str, str]
    valid_seconds: float


@platform_client("advice")
class AdviceClient(PlatformClient):
    """Asks about one step at a time; the service answers the calls of one host in turn."""

    async def advise(
        self, workflow: str, occurrence: int, step: int, workers: list[str], *, timeout: float
    ) -> Advice:
        """Returns which of ``workers`` may run a step.

        Raises
        ------
        PlatformRefusal
            If the service has too many calls of this host waiting.
        PlatformError
            If there was no valid answer.
        """
        body = {"step": f"{workflow}.{occurrence}.{step}", "workers": workers}
        document = await self.call("POST", "/api/advise", body=body, timeout=timeout)
        try:
            tickets = {str(row[0]): str(row[1]) for row in document["allowed"]}
            return Advice(tickets, int(document.get("validMs") or 0) / 1000)
        except (KeyError, TypeError, ValueError, IndexError) as error:
            raise PlatformError(f"malformed advice: {error!r}") from error
