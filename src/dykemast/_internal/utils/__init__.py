"""Small helpers, one subject a module."""
