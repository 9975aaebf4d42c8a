"""Measurements of single matters; each module is a command that prints JSON."""
