"""The operators' command line. The programs of the mesh do not import this package."""
