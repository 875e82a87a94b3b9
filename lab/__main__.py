"""Runs the command `python -m lab`."""

from lab.command import main

main()
