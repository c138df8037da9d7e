"""Delays of this process, which make all workers look silent."""

from __future__ import annotations

import logging

logger = logging.getLogger(__name__)

# Delay of a scan that is logged: half of the time after which a call to a worker times out.
DELAY_ALERT_SECONDS = 0.5


def log_delay(seconds: float, partition: int, epoch: int) -> None:
    """Logs that the owner of a partition was held up, if it was for long."""
    if seconds > DELAY_ALERT_SECONDS:
        logger.warning(
            "the owner was delayed",
            extra={
                "fields": {"partition": partition, "epoch": epoch, "seconds": round(seconds, 2)}
            },
        )
