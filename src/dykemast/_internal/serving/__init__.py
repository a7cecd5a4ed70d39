"""The router that runs on the users' instances.

It stores nothing locally: configuration, backend servers, members and budgets
are objects in the platform's object store.

Each subpackage is a layer that imports only the preceding ones: ``state``,
``requests``, ``knowledge``, ``members``, ``admission``, ``tokens``,
``sending``, then ``parts`` (the module that holds their objects), ``choice``,
``relay`` and ``process``.
"""
