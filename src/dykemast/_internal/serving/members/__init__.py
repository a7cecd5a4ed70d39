"""Other routers: who is there, and what they tell.

In: entries in the store and exchanged news. Out: peers, their loads, strain
and age of knowledge, on the blackboard; calls to one peer.
"""
