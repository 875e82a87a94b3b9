"""Which upstream owns which keys of a sharded service: the map, its leases and its assignment. No I/O."""
