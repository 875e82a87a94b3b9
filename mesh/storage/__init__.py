"""The disk: what was acknowledged, in lmdb."""
