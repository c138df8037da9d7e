"""Passes the configuration on to entry hosts that the store turns away while it serves others.

Only a configuration with client accounts is passed on, since its keys may be withdrawn.

Load pattern: the store rejects a third of the entry hosts for some seconds and serves the others,
and meanwhile the operator withdraws keys. The rejected hosts keep answering callers, so they ask
the owners of partitions for a later version.
"""

from __future__ import annotations

import logging
from datetime import timedelta
from typing import TYPE_CHECKING, Any

from mode import Service

from carawayd.process.exchange import PeerUnreachable
from carawayd.supervision import supervised_task
from carawayd.unreadable import unreadable_records
from carawayshore.decoding import MalformedDocument, Quantity, convert

if TYPE_CHECKING:
    from carawayd.process.discovery import Discovery
    from carawayd.process.exchange import PeerRpc
    from carawayd.process.ownership import Ownership
    from carawayd.process.site import SiteSettings
    from carawayshore.clock import Clock

logger = logging.getLogger(__name__)

READ_CONFIGURATION = "configuration"
# Longer than a long poll of the configuration, whose answer renews the contact with the store.
MAX_CONTACT_AGE = timedelta(seconds=1.2)
INTERVAL = timedelta(seconds=0.5)
# Age at which the list of the owners of partitions is read again.
DIRECTORY_INTERVAL = timedelta(seconds=10)
CALL_TIMEOUT_SECONDS = 0.8
# Name of the peers' records in metrics and log lines.
PEER_RECORDS = "peers"


class ConfigurationRelay(Service):
    """Reads later versions of the configuration from peers while the store does not answer.

    Parameters
    ----------
    discovery : Discovery
        Holds the configuration in force; a version that is not later is ignored there.
    ownership : Ownership
        Knows the addresses of the peers.
    peer_rpc : PeerRpc
    settings : SiteSettings
    clock : Clock
    """

    def __init__(
        self,
        discovery: Discovery,
        ownership: Ownership,
        peer_rpc: PeerRpc,
        settings: SiteSettings,
        clock: Clock,
    ) -> None:
        super().__init__()
        self._discovery = discovery
        self._ownership = ownership
        self._peer_rpc = peer_rpc
        self._clock = clock
        # Hosts begin with different peers, so that none is asked by all of them.
        self._turn = sum(settings.member.encode())
        peer_rpc.handlers[READ_CONFIGURATION] = self._answer

    async def _answer(self, arguments: list[Any]) -> bytes:
        """Returns the record of the configuration, empty if its version is not later."""
        (version,) = convert(arguments, tuple[Quantity])
        deployment = self._discovery.deployment
        if deployment is None or deployment.version <= version:
            return b""
        return self._discovery.configuration_record

    @supervised_task
    async def _follow(self) -> None:
        while not self.should_stop:
            if self._discovery.list_accounts() is not None:
                if self._discovery.has_contact(MAX_CONTACT_AGE):
                    # The peers have to be known before contact is lost.
                    self._ownership.refresh_directory(DIRECTORY_INTERVAL)
                else:
                    await self._ask_peer()
            await self._clock.sleep(INTERVAL)

    async def _ask_peer(self) -> None:
        addresses = self._ownership.list_peer_addresses()
        deployment = self._discovery.deployment
        # A process that has not read the configuration yet cannot tell how old an answer is.
        if not addresses or deployment is None:
            return
        self._turn += 1
        address = addresses[self._turn % len(addresses)]
        try:
            record = await self._peer_rpc.call(
                address, READ_CONFIGURATION, deployment.version, timeout=CALL_TIMEOUT_SECONDS
            )
            value = convert(record, bytes)
        except PeerUnreachable:
            return
        except MalformedDocument as error:
            unreadable_records.note(PEER_RECORDS, address, error)
            return
        if value:
            logger.info("configuration read from a peer", extra={"fields": {"peer": address}})
            self._discovery.apply_configuration(value)
