"""Staged rollout without I/O: canaries, their verdict, activation, confirmation."""
