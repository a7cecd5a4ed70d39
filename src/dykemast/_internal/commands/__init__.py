"""Commands, one module each; they only connect other components."""
