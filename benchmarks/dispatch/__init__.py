"""Compare placement strategies: ``python -m benchmarks.dispatch``."""
