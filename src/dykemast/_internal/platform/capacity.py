"""What the settings say of an instance's processor and link."""

from typing import Final

from dykemast._internal.models.deployment import Capacity
from dykemast._internal.platform.settings_reader import SettingsReader

_BITS: Final = 1_000_000
_BITS_PER_BYTE: Final = 8


def decode_capacity(reader: SettingsReader) -> Capacity:
    """Decode what the instance gives a process.

    :param reader: reads the settings, and collects findings.
    :returns: the capacity.
    """
    # The quota is a share of one core, which runs so many times as fast as
    # a common one; "cores" doesn't count processors.
    quota = reader.read('limits.cpuQuota', float)
    speed = reader.read('limits.cores', float)
    return Capacity(
        cores=(quota or 0) * (speed or 0),
        link=reader.read('limits.linkMbps', _count_link_bytes),
    )


def _count_link_bytes(megabits: float) -> float:
    return float(megabits) * _BITS / _BITS_PER_BYTE
