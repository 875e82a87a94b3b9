"""Links between the system's own processes: netstrings of JSON over TCP, and HTTP at the edge."""
