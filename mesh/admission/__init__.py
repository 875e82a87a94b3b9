"""Limits on calls, without I/O: retry budget, wait queue, buffer budget, final check."""
