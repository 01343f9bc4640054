"""Decisions about jobs, workers and hosts: pure functions of typed state, without I/O or clocks."""
