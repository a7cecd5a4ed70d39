"""Processes of one test, which alone ends them, by their ids."""

import atexit
import os
import subprocess
import sys
import tempfile
from pathlib import Path


class Processes:
    """Programs that run until ``stop``; each writes a log of its own."""

    def __init__(self) -> None:
        self.running: dict[str, subprocess.Popen[bytes]] = {}
        self._folder = tempfile.TemporaryDirectory()
        self.folder = Path(self._folder.name)
        atexit.register(self.stop)

    def run(self, name: str, module: str, *words: str, **env: str) -> None:
        with (self.folder / f'{name}.log').open('ab') as log:
            self.running[name] = subprocess.Popen(
                [sys.executable, '-m', module, *words],
                env={**os.environ, **env},
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def read_log(self, name: str) -> str:
        return (self.folder / f'{name}.log').read_text()

    def kill(self, name: str) -> None:
        self.running[name].kill()
        self.running[name].wait()

    def stop(self) -> None:
        for process in self.running.values():
            process.kill()
        for process in self.running.values():
            process.wait()
        self.running.clear()
