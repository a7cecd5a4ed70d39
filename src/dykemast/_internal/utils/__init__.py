"""Utilities that depend on no other part of the program."""
