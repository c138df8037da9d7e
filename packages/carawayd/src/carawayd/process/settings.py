"""Settings of one process, read once from a JSON file."""

from __future__ import annotations

from datetime import timedelta
from pathlib import Path
from typing import Any, NamedTuple

from carawayshore.decoding import MalformedDocument, decode_json
from carawayshore.findings import Finding, FindingsError
from carawayshore.options import Field, check_fields, fill_defaults

PEER_FIELDS = (
    Field("data_centre", "name", "Data centre of the peer.", required=True),
    Field("peer_address", "address", "Address of the peer's message socket.", required=True),
    Field("caller_address", "address", "Address where the peer serves callers.", required=True),
)
OPTION_FIELDS = (
    Field("claim_lifetime_seconds", "number", "Lifetime of a claim.", "s", 6.0, minimum=0.5),
    Field("claim_margin_seconds", "number", "Safety margin of a claim.", "s", 1.0, minimum=0.05),
    Field("heartbeat_seconds", "number", "Interval of heartbeats.", "s", 0.25, minimum=0.02),
    Field("peer_silence_seconds", "number", "Silence after which a peer is lost.", "s", 2.0),
    Field("loan_lifetime_seconds", "number", "Lifetime of a slot loan.", "s", 2.0, minimum=0.1),
    Field("hostlist_interval_seconds", "number", "Interval of host list reads.", "s", 1.0),
    Field("hostlist_lag_seconds", "number", "Time off the host list before removal.", "s", 30.0),
    Field("solitary_limit_seconds", "number", "Service limit without log and peers.", "s", 3600.0),
    Field("balancer_delay_seconds", "number", "Time for the balancer to react.", "s", 1.0),
    Field("stop_limit_seconds", "number", "Longest planned stop.", "s", 600.0),
    Field("controller_seconds", "number", "Interval of the controllers.", "s", 0.25, minimum=0.02),
    Field("log_appends_per_second", "number", "Rate of the whole log service.", "1/s", 300.0),
    Field("log_timeout_seconds", "number", "Timeout of one call to the log.", "s", 5.0),
    Field("append_wait_seconds", "number", "Longest wait for a durable record.", "s", 3.0),
    Field("key_wait_seconds", "number", "Longest wait for a key's owner.", "s", 1.0, minimum=0.05),
    Field("key_quarantine_seconds", "number", "Quarantine of keys after lost grants.", "s", 3600.0),
    Field("slow_caller_seconds", "number", "Longest pause of a caller's reads.", "s", 10.0),
    Field("lease_seconds", "number", "Lease of a task.", "s", 20.0, minimum=1),
    Field("task_poll_seconds", "number", "Longest interval between polls of a task.", "s", 1.0),
    Field(
        "wave_stall_seconds", "number", "Limit of a wave without progress.", "s", 1800.0, minimum=1
    ),
    Field("snapshot_records", "integer", "Offsets between snapshots.", "", 1000, minimum=10),
    Field("probe_seconds", "number", "Interval of status probes of a target.", "s", 1.0),
    Field("connect_seconds", "number", "Timeout of a connection to a target.", "s", 1.0),
    Field("max_request_bytes", "integer", "Largest request body.", "bytes", 1 << 30),
    Field("replay_bytes", "integer", "Largest body that is kept for a retry.", "bytes", 65536),
    Field("memory_mb", "integer", "Memory of the machine, 0 for unknown.", "MB", 0),
    Field("max_descriptors", "integer", "File descriptors of the machine, 0 for unknown.", "", 0),
    Field("seed", "integer", "Seed of random choices, 0 for a random one.", "", 0),
    Field("operator_token_file", "text", "File of the operators' bearer token.", default=""),
)
SETTINGS_FIELDS = (
    Field("member", "name", "Name of this entry host.", required=True),
    Field("data_centre", "name", "Data centre of this entry host.", required=True),
    Field("caller_address", "address", "Address for callers.", required=True),
    Field("operator_address", "address", "Address for operators.", required=True),
    Field("peer_address", "address", "Address for other entry hosts.", required=True),
    Field("log", "text", "URL of the log service.", required=True),
    Field("hostlist", "text", "URL of the host list.", required=True),
    Field("pools", "text", "URL of the pools service.", required=True),
    Field("peers", "peers", "All entry hosts of the deployment.", default=[]),
    Field("options", "object", "Times, limits and rates.", fields=OPTION_FIELDS),
)


class Peer(NamedTuple):
    member: str
    data_centre: str
    peer_address: str
    caller_address: str


class Options(NamedTuple):
    """Times, limits and rates; see ``OPTION_FIELDS`` for their meaning."""

    claim_lifetime: timedelta
    claim_margin: timedelta
    heartbeat: timedelta
    peer_silence: timedelta
    loan_lifetime: timedelta
    hostlist_interval: timedelta
    hostlist_lag: timedelta
    solitary_limit: timedelta
    balancer_delay: timedelta
    stop_limit: timedelta
    controller: timedelta
    log_appends_per_second: float
    log_timeout: timedelta
    append_wait: timedelta
    key_wait: timedelta
    key_quarantine: timedelta
    slow_caller: timedelta
    lease: timedelta
    task_poll: timedelta
    wave_stall: timedelta
    snapshot_records: int
    probe: timedelta
    connect: timedelta
    max_request_bytes: int
    replay_bytes: int
    memory_mb: int
    max_descriptors: int
    seed: int
    operator_token_file: str


class Settings(NamedTuple):
    member: str
    data_centre: str
    caller_address: str
    operator_address: str
    peer_address: str
    log: str
    hostlist: str
    pools: str
    peers: tuple[Peer, ...]
    options: Options

    @property
    def stream(self) -> str:
        """Name of the log stream of this data centre."""
        return f"dc.{self.data_centre}"


def _check_peers(peers: Any) -> list[Finding]:
    if not isinstance(peers, list):
        return [Finding("/peers", peers, "a list of objects, one for each entry host")]
    fields = (Field("member", "name", "Name of the peer.", required=True), *PEER_FIELDS)
    return [
        finding
        for index, peer in enumerate(peers)
        for finding in check_fields(fields, peer, f"/peers/{index}")
    ]


def check_settings(document: Any) -> list[Finding]:
    """Returns all findings in a settings document."""
    if not isinstance(document, dict):
        return check_fields(SETTINGS_FIELDS, document)
    rest = {name: value for name, value in document.items() if name != "peers"}
    fields = tuple(field for field in SETTINGS_FIELDS if field.name != "peers")
    found = check_fields(fields, rest) + _check_peers(document.get("peers", []))
    options = document.get("options")
    if not found and isinstance(options, dict):
        margin = options.get("claim_margin_seconds", 1.0)
        lifetime = options.get("claim_lifetime_seconds", 6.0)
        if margin >= lifetime:
            accepted = f"less than claim_lifetime_seconds, {lifetime} s"
            found.append(Finding("/options/claim_margin_seconds", margin, accepted))
    return found


def _build_options(values: dict[str, Any]) -> Options:
    return Options(
        *(
            timedelta(seconds=value) if name.endswith("_seconds") else value
            for name, value in values.items()
        )
    )


def build_settings(document: Any, *, source: str = "settings") -> Settings:
    """Returns the settings of a document.

    Raises
    ------
    FindingsError
        With all findings, if there is any.
    """
    found = check_settings(document)
    if found:
        raise FindingsError(source, found)
    peers = tuple(Peer(**peer) for peer in document.get("peers", []))
    fields = tuple(field for field in SETTINGS_FIELDS if field.name != "peers")
    filled = fill_defaults(fields, document)
    filled["options"] = _build_options(filled["options"])
    return Settings(**filled, peers=peers)


def read_settings(path: Path) -> Settings:
    """Reads the settings file.

    Raises
    ------
    FindingsError
        If the file cannot be read, is not JSON, or has findings.
    """
    try:
        document = decode_json(path.read_bytes())
    except OSError as error:
        raise FindingsError(str(path), [Finding("", error.strerror, "a readable file")]) from error
    except MalformedDocument as error:
        raise FindingsError(str(path), [error.finding]) from error
    return build_settings(document, source=str(path))
