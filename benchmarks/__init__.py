"""Measurement commands; each ends by itself and writes JSON and plots."""
