"""Tests; ``python -m tests`` runs them all."""
