"""Simulated external systems for tests, run as separate processes."""
