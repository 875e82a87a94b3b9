"""Dissemination of replicated items: processes pull what they lack from a few peers by version vectors."""
