"""Reader for fields of the settings file that collects findings."""

from collections.abc import Callable
from typing import Any

from dykemast._internal.exceptions import Finding


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
