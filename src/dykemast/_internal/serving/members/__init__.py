"""Membership of the fleet, and gossip between routers.

Input: entries in the store and gossip messages. Output: peers, their loads and
the age of their copies of the store, on the blackboard; calls to a peer.
"""
