"""Whether a request may be served, and for whom.

In: an ASGI scope and the configuration. Out: a ticket with route, service,
workspace and deadline, or a refusal; the count of what is in progress.
"""
