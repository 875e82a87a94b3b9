"""Updates: what a process lacks, pulled by version vectors from the few peers that it knows."""
