"""The laboratory: the market in virtual time, experiments on it, and what they came to. Nothing that serves
loads it."""
