"""One measurement a file; each prints JSON as its last line."""
