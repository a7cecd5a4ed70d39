"""Network sessions with callers, peers, platform and backend servers."""
