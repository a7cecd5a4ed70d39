"""One module a command; each only wires parts together."""
