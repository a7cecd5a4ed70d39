"""Local copies of store objects: configuration and backend servers.

Input: listings and watches of the store, or copies that peers send. Output:
the configuration in force and the usable servers, on the blackboard.
"""
