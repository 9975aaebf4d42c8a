"""Development only: stand-ins for the outside, load and measures, all on loopback addresses."""
