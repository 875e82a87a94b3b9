"""A whole mesh of the shipped control plane in virtual time: clock, wire, disks, machines, what must hold."""
