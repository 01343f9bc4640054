"""Listeners that bound what their clients can make the process hold."""
