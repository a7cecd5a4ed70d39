"""A request that was let in, and how its caller is answered.

In: an ASGI scope and its channels. Out: tickets, answers, refusals with
their codes and the time after which a caller may come back.
"""
