"""The operators' command line. The mesh's programs import nothing of it."""
