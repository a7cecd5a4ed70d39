"""Loops that read and write the blackboard."""
