"""A process's settings file, read and checked."""
