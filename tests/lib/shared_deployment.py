"""Deployment shared by tests that inject no faults."""

import functools

from tests.lib.deployment import Deployment


@functools.cache
def start_shared() -> Deployment:
    """Start the deployment shared by tests that inject no faults."""
    return Deployment().start()
