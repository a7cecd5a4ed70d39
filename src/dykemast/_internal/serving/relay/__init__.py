"""Serve a ticket: send it, once more where that is safe, pass answers on.

In: a ticket with its body. Out: the whole answer or whole events to the
caller, or a refusal; tokens that it consumed are settled.
"""
