"""Background loops that read and write the shared state of a router."""
