"""Tokens of workspaces' budgets, set aside for requests.

In: tokens that a request may consume at the most. Out: a hold, found here,
in the store or at a peer, or a refusal; rows of budgets in the store.
"""
