"""A soak of the mesh as real processes: a seeded plan of configuration writes, signals and link faults that
overlap, clients that keep their connections in use, and ledgers that judge from outside."""
