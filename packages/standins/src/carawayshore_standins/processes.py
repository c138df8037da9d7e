"""Child processes of the launcher, each with a settings file and a log file."""

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
    """Makes the kernel kill the child when the launcher dies, so that no orphan is left."""
    _libc.prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)


class ProcessSpec(NamedTuple):
    """How to run one process.

    Parameters
    ----------
    name : str
    module : str
        Module run as ``python -m module --settings FILE``.
    settings : dict
    ready_url : str
        URL that returns 200 once the process is ready.
    addresses : dict of str
        Addresses of the process, by role.
    arguments : tuple of str
        Arguments inserted before ``--settings``.
    """

    name: str
    module: str
    settings: dict[str, Any]
    ready_url: str
    addresses: dict[str, str]
    arguments: tuple[str, ...] = ()


class ManagedProcess:
    """One child process, which can be stopped and restarted.

    Parameters
    ----------
    spec : ProcessSpec
    folder : Path
        Directory of the settings file and the log file.
    """

    def __init__(self, spec: ProcessSpec, folder: Path) -> None:
        self.spec = spec
        self.log_file = folder / f"{spec.name}.log"
        self._settings_file = folder / f"{spec.name}.json"
        self._process: asyncio.subprocess.Process | None = None

    @property
    def pid(self) -> int | None:
        """Process id, or None if the process is not running."""
        return self._process.pid if self.is_running() else None

    @property
    def exit_status(self) -> int | None:
        """Exit status of the last run, or the negative signal number if a signal ended it."""
        return self._process.returncode if self._process else None

    def is_running(self) -> bool:
        return self._process is not None and self._process.returncode is None

    async def start(self) -> None:
        """Starts the process and appends its output to the log file."""
        if self.is_running():
            raise RuntimeError(f"cannot start process {self.spec.name!r}: already running")
        self._settings_file.write_text(json.dumps(self.spec.settings, indent=2))
        command = [sys.executable, "-m", self.spec.module, *self.spec.arguments]
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
        """Sends a signal to the process.

        Raises
        ------
        RuntimeError
            If the process is not running.
        """
        if not self.is_running():
            raise RuntimeError(f"cannot signal process {self.spec.name!r}: not running")
        self._process.send_signal(number)

    async def wait(self, seconds: float) -> int:
        """Waits until the process exits and returns its exit status.

        Raises
        ------
        TimeoutError
            If it has not exited after ``seconds``.
        """
        if self._process is None:
            raise RuntimeError(f"cannot wait for process {self.spec.name!r}: never started")
        return await asyncio.wait_for(self._process.wait(), seconds)

    async def kill(self) -> None:
        """Kills the process with SIGKILL, which also ends a paused process."""
        if self.is_running():
            self._process.kill()
            await self._process.wait()

    async def terminate(self, seconds: float) -> None:
        """Sends SIGTERM, and SIGKILL if the process has not exited after ``seconds``.

        SIGCONT is sent first, because a paused process does not handle SIGTERM.
        """
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
