"""Connections between the mesh's processes: netstrings of JSON over TCP, and HTTP at the edge."""
