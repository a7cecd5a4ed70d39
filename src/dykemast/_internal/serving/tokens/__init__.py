"""Reservation of tokens of workspaces' budgets for requests.

In: upper bound of the tokens that a request consumes. Out: a hold on
tokens from this router, the store or a peer, or a refusal; rows of budgets
in the store.
"""
