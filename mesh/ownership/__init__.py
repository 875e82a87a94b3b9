"""Which upstream holds which keys of a divided service: the map, its leases, the plan. No I/O."""
