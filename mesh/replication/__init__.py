"""Replicated state without I/O: items with versions, merge, vectors, digests, ballots, quorums."""
