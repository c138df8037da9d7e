"""HTTP client of the entry hosts' operator addresses."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from typing import TYPE_CHECKING, Any, NamedTuple

import aiohttp

from carawayctl.errors import BadDocument, Refused, Unknown, Unreachable
from carawayshore.findings import Finding
from carawayshore.outcome import OUTCOME_HEADER, Outcome

if TYPE_CHECKING:
    from carawayctl.output import Output

CONNECT_TIMEOUT_S = 3.0
# An entry host answers a change after at most `append_wait_seconds`, 3 s by default.
ANSWER_TIMEOUT_S = 30.0
# A paused process accepts connections but never answers; the next entry host is tried instead.
STATUS_TIMEOUT_S = 5.0
MAX_ERROR_CHARACTERS = 200
NO_ENTRY_HOST = "check the addresses and that carawayd runs there, or name another --entry-host"
LOOK_UP = "look up what is in force before you repeat it: `status`, `config history`, `hosts list`"

_NEXT_STEPS = {
    401: "give the operators' bearer token with --token-file",
    404: "check the name; each entry host knows the hosts and jobs of its own data centre only",
    409: "look at the current state and decide again",
    503: "run it again later, or name another --entry-host",
}


class Answer(NamedTuple):
    status: int
    body: Any
    outcome: str
    is_json: bool


class _NotSent(Exception):
    """The connection failed before anything was sent."""


def _read_body(text: str) -> tuple[Any, bool]:
    """Returns the body, and whether it is JSON; other text is taken as an error message."""
    try:
        return json.loads(text), True
    except ValueError:
        return {"error": text[:MAX_ERROR_CHARACTERS]}, False


class Client:
    """Sends requests to the first entry host that can be reached; an async context manager.

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
        self._headers = _read_headers(token_file)
        self._session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> Client:
        # Without connections kept open, a failed send never is a connection closed meanwhile.
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
        """Whether the entry host in use was cut off from the log when it was connected."""
        return not self.status.get("log_reachable", False)

    async def _connect(self) -> None:
        """Moves the first entry host that answers to the front, and tells about its state."""
        failures = {}
        for address in list(self._addresses):
            try:
                answer = await self._exchange(
                    "GET", address, "/v1/operator/status", timeout=STATUS_TIMEOUT_S
                )
            except (_NotSent, aiohttp.ClientError, TimeoutError) as error:
                failures[address] = str(error) or type(error).__name__
                continue
            self._addresses.remove(address)
            self._addresses.insert(0, address)
            self._check(answer)
            self._use(answer.body, failures)
            return
        reasons = [f"{address}: {reason}" for address, reason in failures.items()]
        raise Unreachable(
            "no entry host can be reached: " + "; ".join(reasons),
            given=list(failures),
            accepted="operator addresses of running entry hosts",
            next_step=NO_ENTRY_HOST,
        )

    def _use(self, status: Any, failures: dict[str, str]) -> None:
        if not isinstance(status, dict) or "member" not in status:
            raise Refused(
                f"{self.address} is not the operator address of an entry host",
                given=self.address,
                accepted="the operator_address in the settings of an entry host",
                next_step=NO_ENTRY_HOST,
            )
        self.status = status
        for address, reason in failures.items():
            self._output.note(f"{address} cannot be reached ({reason}); using {self.address}")
        age = status.get("log_contact_age_seconds")
        self._output.entry_host = {
            "member": status["member"],
            "data_centre": status.get("data_centre", ""),
            "address": self.address,
            "cut_off": self.cut_off,
            "log_contact_age_seconds": age,
        }
        if self.cut_off:
            since = "it never had contact" if age is None else f"last contact {age:.1f} s ago"
            self._output.note(
                f"entry host {status['member']} ({self.address}) is cut off from the log, {since}; "
                "what it shows may be out of date, and changes wait or are refused"
            )

    async def _exchange(
        self,
        method: str,
        address: str,
        path: str,
        *,
        body: Any = None,
        timeout: float = ANSWER_TIMEOUT_S,
    ) -> Answer:
        limits = aiohttp.ClientTimeout(total=timeout, sock_connect=CONNECT_TIMEOUT_S)
        url = f"http://{address}{path}"
        try:
            async with self._session.request(
                method, url, json=body, headers=self._headers, timeout=limits
            ) as answer:
                text = await answer.text()
                outcome = answer.headers.get(OUTCOME_HEADER, "")
                body, is_json = _read_body(text)
                return Answer(answer.status, body, outcome, is_json)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise _NotSent(str(error)) from error

    def _check(self, answer: Answer, *, given: Any = None, accepted: Any = None) -> Any:
        """Returns the body of a successful answer.

        Parameters
        ----------
        answer : Answer
        given : Any
            Value of the command line that the answer is about.
        accepted : Any
            Accepted values, if the entry host does not list them.

        Raises
        ------
        CommandError
            With what the entry host said, if it did not succeed.
        """
        if 200 <= answer.status < 300:
            return answer.body
        body = answer.body if isinstance(answer.body, dict) else {}
        message = str(body.get("error") or body.get("detail") or body.get("reason") or "")
        outcome = body.get("outcome") or answer.outcome
        member = self.status.get("member", self.address)
        if outcome == Outcome.UNKNOWN:
            raise Unknown(f"{member}: {message}", next_step=LOOK_UP, details={"answer": body})
        findings = body.get("findings")
        if isinstance(findings, list) and all(isinstance(item, dict) for item in findings):
            raise BadDocument(f"the document sent to {member}", [Finding(**f) for f in findings])
        next_step = _NEXT_STEPS.get(answer.status, "correct the value given")
        if answer.status in (404, 405) and not answer.is_json:
            message = "it does not offer this"
            next_step = "name an --entry-host that runs a later version"
        if self.status and self.cut_off and answer.status in (409, 503):
            message += f" (entry host {member} is cut off from the log)"
            next_step = "name an --entry-host that reaches the log, or wait until this one does"
        if answer.status == 401:
            given = "a token that is not valid" if self._headers else "no token"
            accepted = "the token in the file that operator_token_file in its settings names"
        raise Refused(
            f"refused by {member}, nothing changed: {message} (HTTP status {answer.status})",
            given=given,
            accepted=body.get("accepted") or body.get("findings") or accepted,
            next_step=next_step,
            details={"http_status": answer.status, "answer": body},
        )

    async def get(
        self, path: str, *, address: str = "", given: Any = None, accepted: Any = None
    ) -> Any:
        """Returns the JSON body at a path; goes on to the next entry host if one is lost.

        Parameters
        ----------
        path : str
        address : str
            Another address of the entry host in use, for example the one for callers.
        given, accepted : Any
            Named by the refusal, if there is one.

        Raises
        ------
        Refused
            If the entry host answers with an error.
        Unreachable
            If no entry host answers.
        """
        for _ in range(2):
            try:
                answer = await self._exchange("GET", address or self.address, path)
                return self._check(answer, given=given, accepted=accepted)
            except (_NotSent, aiohttp.ClientError, TimeoutError) as error:
                self._output.note(f"{address or self.address} gave no answer: {error}")
                await self._connect()
        raise Unreachable(f"no entry host answers GET {path}", next_step=NO_ENTRY_HOST)

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
        """Sends a change once and returns the JSON body of the answer.

        Parameters
        ----------
        method, path : str
        body : Any
        address : str
            Another address of the entry host in use, for example the one for callers.
        given, accepted : Any
            Named by the refusal, if there is one.

        Raises
        ------
        Refused
            If it was refused; nothing changed.
        Unreachable
            If no connection was made; nothing was sent.
        Unknown
            If the answer was lost or the command was interrupted meanwhile.
        """
        target = address or self.address
        what = f"{method} {path}"
        try:
            answer = await self._exchange(method, target, path, body=body)
        except _NotSent as error:
            message = f"{target} cannot be reached, {what} was not sent: {error}"
            raise Unreachable(message, next_step=NO_ENTRY_HOST) from error
        except asyncio.CancelledError:
            message = f"interrupted before {target} answered {what}"
            raise Unknown(message, next_step=LOOK_UP) from None
        except (aiohttp.ClientError, TimeoutError) as error:
            reason = str(error) or type(error).__name__
            message = f"{target} did not answer {what}: {reason}"
            raise Unknown(message, next_step=LOOK_UP) from error
        if answer.status >= 500 and not _has_outcome(answer):
            message = f"{target} failed at {what} (HTTP status {answer.status})"
            raise Unknown(message, next_step=LOOK_UP)
        return self._check(answer, given=given, accepted=accepted)


def _has_outcome(answer: Answer) -> bool:
    """Returns whether the answer says what became of the change."""
    stated = answer.body.get("outcome") if isinstance(answer.body, dict) else None
    return (stated or answer.outcome) in set(Outcome)


def _read_headers(token_file: Path | None) -> dict[str, str]:
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
