"""The router program as it runs on the users' instances.

It keeps nothing of its own: configuration, backend servers, members and
budgets lie in the platform's object store.

A folder a stage, each of which uses only those before it: ``state``,
``requests``, ``knowledge``, ``members``, ``admission``, ``tokens``,
``sending``, then ``parts`` (the module that holds what they made), ``choice``,
``relay`` and ``process``.
"""
