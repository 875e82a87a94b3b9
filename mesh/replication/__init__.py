"""Control state without I/O: items with versions, their merge, vectors, digests, quorums."""
