"""Settings of an entry host that runs on the platform, read from a JSON file."""

from __future__ import annotations

from datetime import timedelta
from pathlib import Path
from typing import Any, NamedTuple

from carawayshore.decoding import MAX_PORT, MalformedDocument, decode_json
from carawayshore.findings import Finding, FindingsError
from carawayshore.options import Field, check_fields, fill_defaults

# A record of one task needs this much.
MIN_RECORD_BYTES = 16_384

SITE_FIELDS = (
    Field("member", "name", "Name of this entry host.", required=True),
    Field("data_centre", "name", "Data centre of this entry host.", required=True),
    Field("caller_address", "address", "Address for callers.", required=True),
    Field("ready_address", "address", "Address of the readiness check.", required=True),
    Field("peer_host", "text", "IP address for other entry hosts.", required=True),
    Field(
        "peer_port",
        "integer",
        "Port for other entry hosts.",
        required=True,
        minimum=1,
        maximum=MAX_PORT,
    ),
    Field(
        "metrics_port",
        "integer",
        "Port of the metrics.",
        required=True,
        minimum=1,
        maximum=MAX_PORT,
    ),
    Field("store", "address", "Address of the platform's store.", required=True),
    Field("machines", "text", "Address of the machines service, empty for none.", default=""),
    Field("advice", "text", "Address of the advice service, empty for none.", default=""),
    Field("partitions", "integer", "Partitions of a topic.", required=True, minimum=1),
    Field(
        "record_bytes",
        "integer",
        "Largest record that the store accepts, key included.",
        "bytes",
        262_144,
        minimum=MIN_RECORD_BYTES,
    ),
    Field(
        "request_bytes",
        "integer",
        "Largest total of the records of one append.",
        "bytes",
        2_097_152,
        minimum=MIN_RECORD_BYTES,
    ),
    Field("least_ttl_ms", "integer", "Minimum lifetime of a group membership.", "ms", 1000),
    Field("longest_lease_ms", "integer", "Maximum lease of a task.", "ms", 6000, minimum=1),
    Field("capacity_age_ms", "integer", "Maximum age of a capacity in use.", "ms", 3000, minimum=1),
    Field("status_seconds", "number", "Time for which ended workflows can be queried.", "s", 120),
    Field("drain_ms", "integer", "Time after which no new work may start.", "ms", 2000),
    Field("grace_seconds", "number", "Time from SIGTERM to SIGKILL.", "s", 6),
    Field("machine_lease_ms", "integer", "Pause between orders of two holders.", "ms", 3000),
    Field("processor_share", "number", "Share of a core that the process may use.", "", 1),
    Field("processor_speed", "number", "Speed of that core relative to an ordinary one.", "", 1),
    Field("memory_mb", "integer", "Memory of the machine, 0 for unknown.", "MB", 0),
    Field("max_descriptors", "integer", "File descriptors of the machine, 0 for unknown.", "", 0),
    Field("seed", "integer", "Seed of random choices, 0 for a random one.", "", 0),
)

# Time without store contact after which an owner stops renewing leases. Its tasks therefore run for
# at most this time plus one lease, which the next owner waits for if it cannot reach them.
ABANDON_SECONDS = 5.0


class SiteOptions(NamedTuple):
    """Timeouts of the clients of the platform's services."""

    log_timeout: timedelta = timedelta(seconds=1.5)


class SiteSettings(NamedTuple):
    """Settings of one process; see ``SITE_FIELDS`` for the units."""

    member: str
    data_centre: str
    caller_address: str
    ready_address: str
    peer_host: str
    peer_port: int
    metrics_port: int
    store: str
    machines: str
    advice: str
    partitions: int
    record_bytes: int
    request_bytes: int
    least_ttl_ms: int
    longest_lease_ms: int
    capacity_age_ms: int
    status_seconds: float
    drain_ms: int
    grace_seconds: float
    machine_lease_ms: int
    processor_share: float
    processor_speed: float
    memory_mb: int
    max_descriptors: int
    seed: int
    options: SiteOptions = SiteOptions()
    abandon_seconds: float = ABANDON_SECONDS

    @property
    def cores(self) -> float:
        """Processor time per second, in seconds of an ordinary core."""
        return self.processor_share * self.processor_speed

    @property
    def peer_address(self) -> str:
        return f"{self.peer_host}:{self.peer_port}"


def check_site(document: Any) -> list[Finding]:
    """Returns all findings in a settings document."""
    return check_fields(SITE_FIELDS, document)


def read_site(path: Path) -> SiteSettings:
    """Reads and checks the settings.

    Raises
    ------
    FindingsError
        If the file cannot be read, is not JSON, or has findings.
    """
    try:
        document = decode_json(path.read_bytes())
    except OSError as error:
        raise FindingsError(str(path), [Finding("", error.strerror, "a file")]) from error
    except MalformedDocument as error:
        raise FindingsError(str(path), [error.finding]) from error
    found = check_site(document)
    if found:
        raise FindingsError(str(path), found)
    return SiteSettings(**fill_defaults(SITE_FIELDS, document))
