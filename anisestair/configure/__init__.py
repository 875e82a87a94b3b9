"""Configuration of sidecars: reading, checks, generation from descriptions, and trials."""
