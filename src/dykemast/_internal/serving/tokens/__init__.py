"""Reservation of tokens of workspaces' budgets for requests.

Input: upper bound of the tokens that a request consumes. Output: a hold on
tokens from this router, the store or a peer, or a refusal; rows of budgets
in the store.
"""
