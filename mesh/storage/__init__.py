"""The durable store: acknowledged writes, in lmdb."""
