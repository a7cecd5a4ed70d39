"""What the settings say of an instance's processor and link."""

import math
from typing import Final

from dykemast._internal.models.deployment import Capacity
from dykemast._internal.platform.settings_reader import SettingsReader

_BITS_PER_MEGABIT: Final = 1_000_000
_BITS_PER_BYTE: Final = 8


def decode_capacity(reader: SettingsReader) -> Capacity:
    """Decode what the instance gives a process.

    What the settings do not say, or give as 0, counts as without bound.

    :param reader: reads the settings, and collects findings.
    :returns: the capacity.
    """
    # The quota is a share of one core, which runs so many times as fast as
    # a common one; "cores" doesn't count processors.
    quota = reader.read_or('limits.cpuQuota', float, math.inf)
    speed = reader.read_or('limits.cores', float, 1)
    megabits = reader.read_or('limits.linkMbps', float, math.inf)
    return Capacity(
        cores=(quota * (speed or 1)) or math.inf,
        link=(megabits * _BITS_PER_MEGABIT / _BITS_PER_BYTE) or math.inf,
    )
