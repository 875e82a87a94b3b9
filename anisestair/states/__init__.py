"""Models for the state checker: the state machines of `anisestair.lifecycle` with an environment in which
anything may happen, the takeover between processes, and the storm detection. A serving sidecar loads none."""
