"""Lifecycle of the process: wiring, loops, listeners, reload, stop.

In: settings and signals. Out: a router that serves until it is stopped, and
its endpoints for entry, readiness and metrics.
"""
