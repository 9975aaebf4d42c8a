"""Benchmark commands; each runs to its end and writes JSON, some of them plots."""
