"""The data plane: a sidecar beside each upstream that carries calls."""
