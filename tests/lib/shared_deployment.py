"""The deployment that tests share which break nothing."""

import functools

from tests.lib.deployment import Deployment


@functools.cache
def start_shared() -> Deployment:
    """Start the deployment that tests share which break nothing."""
    return Deployment().start()
