"""Serving of admitted requests: sends, retries and delivery of responses.

Input: an admitted request with its body. Output: a complete response or
complete events for the caller, or a refusal. Consumed tokens are settled.
"""
