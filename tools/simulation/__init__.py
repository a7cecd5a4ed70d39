"""Simulated time for measurements of the decision code."""
