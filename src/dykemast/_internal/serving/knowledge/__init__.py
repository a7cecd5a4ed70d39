"""Local copies of store objects: configuration and backend servers.

In: listings and watches of the store, or copies that peers send. Out: the
configuration in force and the usable servers, on the blackboard.
"""
