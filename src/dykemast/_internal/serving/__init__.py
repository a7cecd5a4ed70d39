"""The router program as it runs on the users' instances.

It keeps nothing of its own: configuration, backend servers, members and
budgets lie in the platform's object store.
"""
