"""Serving of admitted requests: sends, retries and delivery of responses.

In: an admitted request with its body. Out: a complete response or
complete events for the caller, or a refusal. Consumed tokens are settled.
"""
