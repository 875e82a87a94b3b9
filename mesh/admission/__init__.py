"""Limits and last words on calls: the shared budget, may it have run, drains."""
