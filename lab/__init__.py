"""The laboratory: the simulation in virtual time, experiments on it, and their results. Nothing that serves
loads it."""

import os

# Policies that take one thing out of the module subclass it, which its compiled form does not allow.
os.environ.setdefault("HARELOOM_PLAIN", "1")
