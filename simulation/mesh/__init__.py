"""A simulated mesh of the production programs in virtual time: clock, network, disks, machines, invariants.

A play is one run of a script in a simulated mesh, fixed or random; it returns the violated invariants.
"""
