"""Membership without I/O: beats, lives of upstreams, who knows whom, duties."""
