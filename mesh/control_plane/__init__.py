"""The control plane: a program that holds the configuration and distributes it."""
