"""Links that are lost under load between real sidecars, and a judge outside who knows what ran."""
