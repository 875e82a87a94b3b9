"""MessagePack-RPC beside HTTP, through the same machines and decisions. Off, none of it is loaded."""
