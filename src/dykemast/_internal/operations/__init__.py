"""Decision logic without input and output."""
