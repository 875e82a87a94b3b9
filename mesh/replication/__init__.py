"""Replicated state without I/O: versioned items, merging, version vectors, digests, ballots and quorums."""
