"""Processes that whoever started them ends, by their ids."""

import atexit
import os
import subprocess
import sys
import tempfile
from pathlib import Path


class Processes:
    """Programs that run until ``stop``; each writes a log of its own."""

    def __init__(self) -> None:
        """Start nothing yet."""
        self.running: dict[str, subprocess.Popen[bytes]] = {}
        self._folder = tempfile.TemporaryDirectory()
        self.folder = Path(self._folder.name)
        atexit.register(self.stop)

    def run(self, name: str, module: str, *words: str, **env: str) -> None:
        """Start a process.

        :param name: by which to find it again.
        :param module: what it runs.
        :param words: its arguments.
        :param env: variables besides those of this process.
        """
        with (self.folder / f'{name}.log').open('ab') as log:
            self.running[name] = subprocess.Popen(
                [sys.executable, '-m', module, *words],
                env={**os.environ, **env},
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def read_log(self, name: str) -> str:
        """Read what a process wrote.

        :param name: its name.
        :returns: the text.
        """
        return (self.folder / f'{name}.log').read_text()

    def kill(self, name: str) -> None:
        """End a process at once.

        :param name: its name.
        """
        self.running[name].kill()
        self.running[name].wait()

    def stop(self) -> None:
        """End all processes."""
        for process in self.running.values():
            process.kill()
        for process in self.running.values():
            process.wait()
        self.running.clear()
