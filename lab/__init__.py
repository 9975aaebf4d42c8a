"""Development tools: stand-ins for external services, load and measurements, all on loopback."""
