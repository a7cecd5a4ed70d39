"""Path of a request: admission, hold, claim, routing, relay, bill."""
