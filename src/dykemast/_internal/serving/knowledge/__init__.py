"""What is known of the store: configuration and backend servers.

In: lists and watches of the store, or of peers that read it. Out: the
configuration in force and the usable servers, on the blackboard.
"""
