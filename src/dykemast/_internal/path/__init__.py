"""Way of one request: entry, admission, hold, claim, route, relay, bill."""
