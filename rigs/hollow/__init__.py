"""Hollow sluices: sidecars without calls, many in one process, that speak the mesh's frames through the
shipped `leat`, `penstock`, `weir` and `lock` code, beside real processes on loopback."""
