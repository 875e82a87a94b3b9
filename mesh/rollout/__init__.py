"""Settings in stages, without I/O: who takes a changed item first, when the others do, what was confirmed."""
