"""Decisions, free of input and output."""
