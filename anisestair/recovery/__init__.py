"""Handover between processes of one sidecar: shared descriptors and learned state. Loaded only when
needed."""
