"""The operators' command line. No program of the mesh imports anything of it."""
