"""Pure data that the other parts pass to one another."""
