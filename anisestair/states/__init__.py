"""Models of the lives in `anisestair.lifecycle`, for the checker: the machines themselves, closed by all that
can happen to them. Nothing of this is loaded by a running sidecar."""
