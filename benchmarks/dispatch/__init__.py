"""Measures ways of placing requests side by side: ``python -m benchmarks.dispatch``."""
