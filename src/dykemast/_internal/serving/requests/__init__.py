"""Admitted requests and the responses to their callers.

In: an ASGI scope and its channels. Out: admitted requests, responses, refusals
with their codes and Retry-After.
"""
