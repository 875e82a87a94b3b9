"""Loss of links between real sidecars under load, checked against a record of what was executed."""
