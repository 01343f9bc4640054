"""Benches: seeded measurements, one JSON object a line."""
