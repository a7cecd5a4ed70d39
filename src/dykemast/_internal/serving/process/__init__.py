"""The life of the process: wiring, loops, listeners, reload, stop.

In: settings and signals. Out: a router that serves until it is told to stop;
what callers ask besides requests (entry, readiness, metrics).
"""
