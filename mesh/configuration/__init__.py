"""The operators' configuration, without I/O: decoding, validation, routes."""
