"""The data plane: a program beside each upstream that carries calls."""
