"""Processor time and memory of a process."""

from pathlib import Path
from typing import Final

_TICKS: Final = 100
_PAGE: Final = 4096
_MB: Final = 1_000_000
#: Places of the fields in the process's status line, after its name.
_USER: Final = 11
_SYSTEM: Final = 12


def read_cpu(pid: int) -> float:
    """Read the processor time of a process.

    :param pid: the process.
    :returns: seconds.
    """
    text = Path(f'/proc/{pid}/stat').read_text()
    fields = text.rpartition(')')[2].split()
    return (int(fields[_USER]) + int(fields[_SYSTEM])) / _TICKS


def read_memory(pid: int) -> float:
    """Read the resident memory of a process.

    :param pid: the process.
    :returns: MB.
    """
    fields = Path(f'/proc/{pid}/statm').read_text().split()
    return int(fields[1]) * _PAGE / _MB
