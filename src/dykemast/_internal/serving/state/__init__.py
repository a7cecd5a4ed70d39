"""What one router knows, and who writes it.

In: what the other stages learn. Out: the blackboard, the size of the fleet,
loads of backend servers, metrics. It asks no other stage.
"""
