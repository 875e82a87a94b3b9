"""News: what a process lacks, pulled by a vector of versions from the few others that it knows."""
