"""Membership of the fleet, and gossip between routers.

In: entries in the store and gossip messages. Out: peers, their loads and
the age of their copies of the store, on the blackboard; calls to a peer.
"""
