"""Deterministic simulations of the project's programs in virtual time."""
