"""HTTP client of the entry hosts' operator addresses."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from typing import TYPE_CHECKING, Any, NamedTuple

import aiohttp

from carawayctl.errors import BadDocument, OutcomeUnknown, Refused, Unreachable
from carawayshore.findings import Finding
from carawayshore.outcome import OUTCOME_HEADER, Outcome

if TYPE_CHECKING:
    from carawayctl.output import Output

CONNECT_TIMEOUT_SECONDS = 3.0
# Above `append_wait_seconds` (3 s by default), within which an entry host answers a change.
RESPONSE_TIMEOUT_SECONDS = 30.0
# After this time the next entry host is tried: a paused process accepts connections but never
# responds.
STATUS_TIMEOUT_SECONDS = 5.0
MAX_ERROR_CHARACTERS = 200
UNREACHABLE_NEXT_STEP = (
    "check the addresses and that carawayd runs there, or name another --entry-host"
)
UNKNOWN_NEXT_STEP = (
    "check the current state before you repeat the command: `status`, `config history`, "
    "`hosts list`"
)

_NEXT_STEPS = {
    401: "give the operators' bearer token with --token-file",
    404: "check the name; each entry host knows the hosts and jobs of its own data centre only",
    409: "check the current state, then decide again",
    503: "run it again later, or name another --entry-host",
}


class Response(NamedTuple):
    """Response of an entry host.

    ``status`` is the HTTP status, ``outcome`` the value of the outcome header, empty if absent,
    and ``is_json`` whether the body was JSON.
    """

    status: int
    body: Any
    outcome: str
    is_json: bool


class _RequestNotSent(Exception):
    """The connection could not be established, so the request was not sent."""


def _parse_body(text: str) -> tuple[Any, bool]:
    """Returns the body and whether it is JSON; other text becomes the message of an error body."""
    try:
        return json.loads(text), True
    except ValueError:
        return {"error": text[:MAX_ERROR_CHARACTERS]}, False


class Client:
    """Async context manager that sends requests to the first reachable entry host.

    Parameters
    ----------
    addresses : list of str
        Operator addresses, tried in this order.
    output : Output
    token_file : Path, optional
        File with the bearer token.

    Raises
    ------
    Refused
        If the token file cannot be read.
    """

    def __init__(
        self, addresses: list[str], output: Output, *, token_file: Path | None = None
    ) -> None:
        self.status: dict[str, Any] = {}
        self._addresses = list(addresses)
        self._output = output
        self._headers = _build_headers(token_file)
        self._session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> Client:
        # Without keep-alive, a failed request is never caused by a stale idle connection that the
        # entry host has closed.
        self._session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(force_close=True))
        try:
            await self._connect()
        except BaseException:
            await self._session.close()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        await self._session.close()

    @property
    def address(self) -> str:
        """Operator address of the entry host in use."""
        return self._addresses[0]

    @property
    def cut_off(self) -> bool:
        """Whether the entry host in use had lost contact with the log when the client connected."""
        return not self.status.get("log_reachable", False)

    async def _connect(self) -> None:
        """Selects the first entry host that responds and reports its state to the operator."""
        failures = {}
        for address in list(self._addresses):
            try:
                response = await self._send_request(
                    "GET", address, "/v1/operator/status", timeout=STATUS_TIMEOUT_SECONDS
                )
            except (_RequestNotSent, aiohttp.ClientError, TimeoutError) as error:
                failures[address] = str(error) or type(error).__name__
                continue
            self._addresses.remove(address)
            self._addresses.insert(0, address)
            self._check_response(response)
            self._set_entry_host(response.body, failures)
            return
        reasons = [f"{address}: {reason}" for address, reason in failures.items()]
        raise Unreachable(
            "no entry host can be reached: " + "; ".join(reasons),
            given=list(failures),
            accepted="operator addresses of running entry hosts",
            next_step=UNREACHABLE_NEXT_STEP,
        )

    def _set_entry_host(self, status: Any, failures: dict[str, str]) -> None:
        if not isinstance(status, dict) or "member" not in status:
            raise Refused(
                f"{self.address} is not the operator address of an entry host",
                given=self.address,
                accepted="the operator_address in the settings of an entry host",
                next_step=UNREACHABLE_NEXT_STEP,
            )
        self.status = status
        for address, reason in failures.items():
            self._output.note(f"{address} cannot be reached ({reason}); using {self.address}")
        age_s = status.get("log_contact_age_seconds")
        self._output.entry_host = {
            "member": status["member"],
            "data_centre": status.get("data_centre", ""),
            "address": self.address,
            "cut_off": self.cut_off,
            "log_contact_age_seconds": age_s,
        }
        if self.cut_off:
            contact = "no contact so far" if age_s is None else f"last contact {age_s:.1f} s ago"
            self._output.note(
                f"entry host {status['member']} ({self.address}) is cut off from the log "
                f"({contact}); its state may be out of date, and changes are delayed or refused"
            )

    async def _send_request(
        self,
        method: str,
        address: str,
        path: str,
        *,
        body: Any = None,
        timeout: float = RESPONSE_TIMEOUT_SECONDS,
    ) -> Response:
        client_timeout = aiohttp.ClientTimeout(total=timeout, sock_connect=CONNECT_TIMEOUT_SECONDS)
        url = f"http://{address}{path}"
        try:
            async with self._session.request(
                method, url, json=body, headers=self._headers, timeout=client_timeout
            ) as response:
                text = await response.text()
                outcome = response.headers.get(OUTCOME_HEADER, "")
                body, is_json = _parse_body(text)
                return Response(response.status, body, outcome, is_json)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise _RequestNotSent(str(error)) from error

    def _check_response(
        self, response: Response, *, given: Any = None, accepted: Any = None
    ) -> Any:
        """Returns the body of a successful response.

        Parameters
        ----------
        response : Response
        given : Any
            Command-line value that the request was about, for the error.
        accepted : Any
            Accepted values for the error, if the entry host does not list them.

        Raises
        ------
        CommandError
            With the message of the entry host, if the request failed.
        """
        if 200 <= response.status < 300:
            return response.body
        body = response.body if isinstance(response.body, dict) else {}
        message = str(body.get("error") or body.get("detail") or body.get("reason") or "")
        outcome = body.get("outcome") or response.outcome
        member = self.status.get("member", self.address)
        if outcome == Outcome.UNKNOWN:
            raise OutcomeUnknown(
                f"{member}: {message}", next_step=UNKNOWN_NEXT_STEP, details={"answer": body}
            )
        findings = body.get("findings")
        if isinstance(findings, list) and all(isinstance(item, dict) for item in findings):
            raise BadDocument(f"the document sent to {member}", [Finding(**f) for f in findings])
        next_step = _NEXT_STEPS.get(response.status, "correct the value given")
        if response.status in (404, 405) and not response.is_json:
            message = "the entry host does not support this operation"
            next_step = "name an --entry-host that runs a later version"
        if self.status and self.cut_off and response.status in (409, 503):
            message += f" (entry host {member} is cut off from the log)"
            next_step = "name an --entry-host that reaches the log, or wait until this one does"
        if response.status == 401:
            given = "a token that is not valid" if self._headers else "no token"
            accepted = "the token in the file that operator_token_file in its settings names"
        raise Refused(
            f"refused by {member}, nothing changed: {message} (HTTP status {response.status})",
            given=given,
            accepted=body.get("accepted") or body.get("findings") or accepted,
            next_step=next_step,
            details={"http_status": response.status, "answer": body},
        )

    async def get(
        self, path: str, *, address: str = "", given: Any = None, accepted: Any = None
    ) -> Any:
        """Returns the JSON body at a path; retries once after connecting again.

        Parameters
        ----------
        path : str
        address : str
            Address to use instead of the operator address, for example the caller address.
        given, accepted : Any
            Given and accepted values for the error, if the request is refused.

        Raises
        ------
        Refused
            If the entry host returns an error.
        Unreachable
            If no entry host responds.
        """
        for _ in range(2):
            try:
                response = await self._send_request("GET", address or self.address, path)
                return self._check_response(response, given=given, accepted=accepted)
            except (_RequestNotSent, aiohttp.ClientError, TimeoutError) as error:
                self._output.note(
                    f"{address or self.address} did not answer; connecting again: {error}"
                )
                await self._connect()
        raise Unreachable(f"no entry host answers GET {path}", next_step=UNREACHABLE_NEXT_STEP)

    async def change(
        self,
        method: str,
        path: str,
        body: Any = None,
        *,
        address: str = "",
        given: Any = None,
        accepted: Any = None,
    ) -> Any:
        """Sends a state-changing request once, without retries, and returns the JSON body.

        Parameters
        ----------
        method, path : str
        body : Any
        address : str
            Address to use instead of the operator address, for example the caller address.
        given, accepted : Any
            Given and accepted values for the error, if the request is refused.

        Raises
        ------
        Refused
            If the change was refused; nothing changed.
        Unreachable
            If no connection was established; nothing was sent.
        OutcomeUnknown
            If no response arrived, or the command was interrupted while it waited for one.
        """
        destination = address or self.address
        operation = f"{method} {path}"
        try:
            response = await self._send_request(method, destination, path, body=body)
        except _RequestNotSent as error:
            message = f"{destination} cannot be reached, {operation} was not sent: {error}"
            raise Unreachable(message, next_step=UNREACHABLE_NEXT_STEP) from error
        except asyncio.CancelledError:
            message = f"interrupted before {destination} answered {operation}"
            raise OutcomeUnknown(message, next_step=UNKNOWN_NEXT_STEP) from None
        except (aiohttp.ClientError, TimeoutError) as error:
            reason = str(error) or type(error).__name__
            message = f"{destination} did not answer {operation}: {reason}"
            raise OutcomeUnknown(message, next_step=UNKNOWN_NEXT_STEP) from error
        if response.status >= 500 and not _states_outcome(response):
            message = f"{operation} failed at {destination} (HTTP status {response.status})"
            raise OutcomeUnknown(message, next_step=UNKNOWN_NEXT_STEP)
        return self._check_response(response, given=given, accepted=accepted)


def _states_outcome(response: Response) -> bool:
    """Returns whether the response states the outcome of the change."""
    stated = response.body.get("outcome") if isinstance(response.body, dict) else None
    return (stated or response.outcome) in set(Outcome)


def _build_headers(token_file: Path | None) -> dict[str, str]:
    if token_file is None:
        return {}
    try:
        token = token_file.read_text().strip()
    except (OSError, UnicodeDecodeError) as error:
        raise Refused(
            f"the token file cannot be read: {error}",
            given=str(token_file),
            accepted="a readable text file with the bearer token",
            next_step="check --token-file",
        ) from error
    return {"Authorization": f"Bearer {token}"}
