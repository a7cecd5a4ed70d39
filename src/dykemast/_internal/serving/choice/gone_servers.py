"""Forget what is known of backend servers that are gone."""

import asyncio
from typing import Final

from dykemast._internal.serving.parts import Parts

#: Seconds between two rounds. Each start of a server has another id, so that
#: what is known of those before would stay for ever; a cache holds up to all
#: parts of prompts that an engine keeps.
FORGET_PAUSE: Final = 10.0


async def forget_gone(parts: Parts) -> None:
    """Forget servers that are not listed any more, for ever.

    :param parts: parts of the program.
    """
    while True:
        await asyncio.sleep(FORGET_PAUSE)
        parts.loads.caches.keep_only(parts.board.servers)
        parts.trust.keep_only(parts.board.servers)
