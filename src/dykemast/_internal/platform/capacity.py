"""Processor and network capacity from the settings."""

import math
from typing import Final

from dykemast._internal.models.deployment import Capacity
from dykemast._internal.platform.settings_reader import SettingsReader

_BITS_PER_MEGABIT: Final = 1_000_000
_BITS_PER_BYTE: Final = 8


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
