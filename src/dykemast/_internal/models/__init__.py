"""Data types that the other packages exchange."""
