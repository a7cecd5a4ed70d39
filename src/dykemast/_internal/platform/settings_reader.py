"""Fields of the settings file, with findings for all that are wrong."""

from collections.abc import Callable
from typing import Any

from dykemast._internal.exceptions import Finding


class SettingsReader:
    """Reads fields of the file and collects findings.

    :param path: the file.
    :param document: what it holds.
    """

    def __init__(self, path: str, document: dict[str, Any]) -> None:
        """Find nothing yet."""
        self.path = path
        self.findings: list[Finding] = []
        self._document = document

    def read(self, field: str, convert: Callable[[Any], Any]) -> Any:
        """Read a field.

        :param field: its dotted path.
        :param convert: makes what it holds usable, or raises.
        :returns: what it holds; None with a finding when it is wrong.
        """
        found = self._find(field)
        if found is None:
            self._add(field, 'missing.')
            return None
        try:
            return convert(found)
        except (TypeError, ValueError, IndexError) as error:
            self._add(field, f'not usable: {error}.')
        return None

    def read_or(
        self,
        field: str,
        convert: Callable[[Any], Any],
        default: Any,
    ) -> Any:
        """Read a field that may be missing.

        :param field: its dotted path.
        :param convert: makes what it holds usable, or raises.
        :param default: stands for a missing field.
        :returns: what it holds; the default with a finding when it is wrong.
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
