"""Records of the shares of caps that partitions hold."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from carawayshore.decoding import Count, decode_json
from carawayshore.workflows.amounts import Amounts
from carawayshore.workflows.capshares import Goal, Holding


class _HoldingRow(msgspec.Struct, array_like=True):
    share: tuple[Count, Count, Count]
    goal: tuple[Count, Count, Count] | None = None
    since: Count = 0


class _ShareRecord(msgspec.Struct, array_like=True):
    epoch: Count
    accounts: dict[str, _HoldingRow]


class PartitionShares(NamedTuple):
    """Record of one partition; ``holdings`` is None if it cannot be read."""

    epoch: int
    holdings: dict[str, Holding] | None


def encode_shares(record: PartitionShares) -> bytes:
    """Returns the record of a partition."""
    rows = {
        account: [item.share, *((item.goal.amounts, item.goal.since) if item.goal else ())]
        for account, item in record.holdings.items()
    }
    return msgspec.json.encode([record.epoch, rows])


def decode_shares(value: bytes) -> PartitionShares:
    """Returns the decoded record of a partition; raises MalformedDocument if it is malformed."""
    record = decode_json(value, _ShareRecord)
    return PartitionShares(
        record.epoch,
        {
            account: Holding(
                Amounts(*row.share), Goal(Amounts(*row.goal), row.since) if row.goal else None
            )
            for account, row in record.accounts.items()
        },
    )
