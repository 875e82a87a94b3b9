"""Numbered log events."""
