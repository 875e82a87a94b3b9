"""The sidecar: real sockets round the decisions of hareloom."""
