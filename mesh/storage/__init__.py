"""The durable store: what was acknowledged, in lmdb."""
