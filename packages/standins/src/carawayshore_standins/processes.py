"""Child processes of the launcher, each with its settings and its log file."""

from __future__ import annotations

import asyncio
import ctypes
import json
import signal
import sys
from pathlib import Path
from typing import Any, NamedTuple

LOG_TAIL_CHARACTERS = 2000
_PR_SET_PDEATHSIG = 1
_libc = ctypes.CDLL(None, use_errno=True)


def _end_with_parent() -> None:
    """Lets the kernel kill the child when the launcher is killed, so that none is left over."""
    _libc.prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)


class ProcessPlan(NamedTuple):
    """How to run one process.

    Parameters
    ----------
    name : str
    module : str
        Run as ``python -m module --settings FILE``.
    settings : dict
    ready_url : str
        Answers 200 once the process is ready.
    addresses : dict of str
        Addresses by role.
    arguments : tuple of str
        Further arguments of the module.
    """

    name: str
    module: str
    settings: dict[str, Any]
    ready_url: str
    addresses: dict[str, str]
    arguments: tuple[str, ...] = ()


class ManagedProcess:
    """One child process, which can be ended and started again.

    Parameters
    ----------
    plan : ProcessPlan
    folder : Path
        Folder of the settings file and the log file.
    """

    def __init__(self, plan: ProcessPlan, folder: Path) -> None:
        self.plan = plan
        self.log_file = folder / f"{plan.name}.log"
        self._settings_file = folder / f"{plan.name}.json"
        self._process: asyncio.subprocess.Process | None = None

    @property
    def pid(self) -> int | None:
        """Process id while the process runs, else None."""
        return self._process.pid if self.is_running() else None

    @property
    def exit_status(self) -> int | None:
        """Exit status of the last run; negative signal number if a signal ended it."""
        return self._process.returncode if self._process else None

    def is_running(self) -> bool:
        return self._process is not None and self._process.returncode is None

    async def start(self) -> None:
        """Starts the process; output is appended to its log file."""
        if self.is_running():
            raise RuntimeError(f"process {self.plan.name!r} is running")
        self._settings_file.write_text(json.dumps(self.plan.settings, indent=2))
        command = [sys.executable, "-m", self.plan.module, *self.plan.arguments]
        command += ["--settings", str(self._settings_file)]
        with self.log_file.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                *command,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=asyncio.subprocess.STDOUT,
                start_new_session=True,
                preexec_fn=_end_with_parent,
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process by its own id.

        Raises
        ------
        RuntimeError
            If the process does not run.
        """
        if not self.is_running():
            raise RuntimeError(f"process {self.plan.name!r} does not run")
        self._process.send_signal(number)

    async def wait(self, seconds: float) -> int:
        """Waits for the end of the process and returns its exit status.

        Raises
        ------
        TimeoutError
            If it has not ended after ``seconds``.
        """
        if self._process is None:
            raise RuntimeError(f"process {self.plan.name!r} was never started")
        return await asyncio.wait_for(self._process.wait(), seconds)

    async def kill(self) -> None:
        """Ends the process with SIGKILL, paused or not."""
        if self.is_running():
            self._process.kill()
            await self._process.wait()

    async def end(self, seconds: float) -> None:
        """Ends the process with SIGTERM, and with SIGKILL after ``seconds``."""
        if not self.is_running():
            return
        self._process.send_signal(signal.SIGCONT)
        self._process.terminate()
        try:
            await self.wait(seconds)
        except TimeoutError:
            await self.kill()

    def read_log_tail(self) -> str:
        if not self.log_file.exists():
            return ""
        return self.log_file.read_text(errors="replace")[-LOG_TAIL_CHARACTERS:]
