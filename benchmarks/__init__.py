"""Measurements that end by themselves and print JSON."""
