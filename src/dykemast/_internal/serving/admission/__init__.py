"""Admission of requests.

In: an ASGI scope and the configuration. Out: an admitted request with route,
service, workspace and deadline, or a refusal; the requests in progress.
"""
