"""MessagePack-RPC next to HTTP, with the same state machines and balancer. Loaded only when it is enabled."""
