"""The node process on an entry host: settings, listeners, watches, startup and shutdown."""
