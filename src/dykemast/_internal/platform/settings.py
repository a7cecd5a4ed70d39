"""Settings of a process, read from the platform's settings file."""

import os
import tomllib
from types import MappingProxyType
from typing import Any, Final

from dykemast._internal.exceptions import Finding, InvalidFileError
from dykemast._internal.models.deployment import (
    Bounds,
    Endpoint,
    InstanceSettings,
    Listeners,
)
from dykemast._internal.platform.endpoints import decode_endpoint
from dykemast._internal.platform.settings_reader import (
    SettingsReader,
    decode_capacity,
)

#: Environment variable that names the settings file.
PATH_VARIABLE: Final = 'DYKEMAST_SETTINGS'
#: Port of the metrics endpoint; must match deploy/system.toml.
METRICS_PORT: Final = 9464
#: File descriptors that the platform reserves for files.
_FILE_DESCRIPTORS: Final = 200
#: Bound for applying a change where the settings name none: the shortest that
#: users set.
DEFAULT_BOUND_S: Final = 2.0
_MS: Final = 1000


def read_settings() -> InstanceSettings:
    """Read the settings of this process.

    :returns: the settings; unknown fields are ignored.
    :raises InvalidFileError: with all findings, when a field is missing or
        invalid.
    """
    path = os.environ.get(PATH_VARIABLE, '')
    if not path:
        text = 'not set; it must contain the path of the settings file.'
        raise InvalidFileError([Finding('environment', 0, PATH_VARIABLE, text)])
    try:
        with open(path, 'rb') as source:
            document = tomllib.load(source)
    except (OSError, tomllib.TOMLDecodeError) as error:
        raise InvalidFileError([Finding(path, 0, '', str(error))]) from error
    return _decode_settings(SettingsReader(path, document))


def read_change_time() -> float:
    """Read the modification time of the settings file.

    :returns: seconds since 1970 by the file system's clock; 0 when there is no
        file, which ``read_settings`` reports.
    """
    try:
        return os.stat(os.environ.get(PATH_VARIABLE, '')).st_mtime
    except OSError:
        return 0


def _decode_settings(reader: SettingsReader) -> InstanceSettings:
    settings = InstanceSettings(
        name=reader.read('nodeName', str),
        hall=reader.read('zone', str),
        listeners=_decode_listeners(reader),
        store=reader.read('platform.address', decode_endpoint),
        bounds=_decode_bounds(reader),
        max_connections=reader.read('limits.maxFds', _count_connections),
        capacity=decode_capacity(reader),
        first_start=reader.read_or('bootstrap', bool, default=False),
        regions=reader.read_or('zones', dict, MappingProxyType({})),
    )
    if reader.findings:
        raise InvalidFileError(reader.findings)
    return settings


def _decode_listeners(reader: SettingsReader) -> Listeners:
    host = reader.read('ip', str)
    ports = reader.read('portRange', lambda ports: list(map(int, ports)))
    first_port, *_, last_port = ports or (0, 0)
    return Listeners(
        caller=reader.read('listen.frontend', decode_endpoint),
        readiness=reader.read('listen.readiness', decode_endpoint),
        # The entry endpoint tells callers which routers to use.
        entry=reader.read('listen.directory', decode_endpoint),
        peer=Endpoint(host, first_port),
        metrics=Endpoint(host, METRICS_PORT),
        tunnel=Endpoint(host, last_port) if last_port > first_port else None,
    )


def _decode_bounds(reader: SettingsReader) -> Bounds:
    return Bounds(
        stop_timeout=reader.read('bounds.graceS', float),
        retry_ratio=reader.read('bounds.retryBudgetRatio', float),
        retry_slack=reader.read('bounds.budgetSlack', float),
        retry_window=reader.read('bounds.budgetWindowS', float),
        max_entry_ttl=reader.read('bounds.ttl_max_s', float),
        change_time=reader.read_or(
            'bounds.configApplyMs', _decode_ms, DEFAULT_BOUND_S
        ),
        leave_time=reader.read_or(
            'bounds.drainMs', _decode_ms, DEFAULT_BOUND_S
        ),
        evacuate_time=reader.read_or('bounds.evacuateMs', _decode_ms, None),
    )


def _decode_ms(milliseconds: Any) -> float:
    return float(milliseconds) / _MS


def _count_connections(descriptors: int) -> int:
    return int(descriptors) - _FILE_DESCRIPTORS
