"""Reader for fields of the settings file that collects findings."""

import math
from collections.abc import Callable
from typing import Any, Final

from dykemast._internal.exceptions import Finding
from dykemast._internal.models.deployment import Capacity

_BITS_PER_MEGABIT: Final = 1_000_000
_BITS_PER_BYTE: Final = 8


class SettingsReader:
    """Reads fields of a settings file and collects findings.

    :param path: path of the file, for findings.
    :param document: the decoded file.
    """

    def __init__(self, path: str, document: dict[str, Any]) -> None:
        """Initialize the reader without findings."""
        self.path = path
        self.findings: list[Finding] = []
        self._document = document

    def read(self, field: str, convert: Callable[[Any], Any]) -> Any:
        """Read a field.

        :param field: dotted path of the field.
        :param convert: converts the value, or raises if it is invalid.
        :returns: the converted value; None, and a finding, if it is missing or
            invalid.
        """
        found = self._find(field)
        if found is None:
            self._add(field, 'missing.')
            return None
        try:
            return convert(found)
        except (TypeError, ValueError, IndexError) as error:
            self._add(field, f'invalid value {found!r}: {error}.')
        return None

    def read_or(
        self,
        field: str,
        convert: Callable[[Any], Any],
        default: Any,
    ) -> Any:
        """Read an optional field.

        :param field: dotted path of the field.
        :param convert: converts the value, or raises if it is invalid.
        :param default: value for a missing field.
        :returns: the converted value; the default, and a finding, if it is
            invalid.
        """
        if self._find(field) is None:
            return default
        found = self.read(field, convert)
        return default if found is None else found

    def _find(self, field: str) -> Any:
        found: Any = self._document
        for part in field.split('.'):
            found = found.get(part) if isinstance(found, dict) else None
        return found

    def _add(self, field: str, text: str) -> None:
        self.findings.append(Finding(self.path, 0, field, text))


def decode_capacity(reader: SettingsReader) -> Capacity:
    """Decode the capacity that the instance grants to a process.

    A limit that is missing or 0 means unlimited.

    :param reader: reader of the settings; collects findings.
    :returns: cores, and bytes per second of the link.
    """
    # The quota is a share of one core. "cores" is the speed of that core
    # relative to a reference core, not a number of processors.
    quota = reader.read_or('limits.cpuQuota', float, math.inf)
    speed = reader.read_or('limits.cores', float, 1)
    megabits = reader.read_or('limits.linkMbps', float, math.inf)
    return Capacity(
        cores=(quota * (speed or 1)) or math.inf,
        link=(megabits * _BITS_PER_MEGABIT / _BITS_PER_BYTE) or math.inf,
    )
