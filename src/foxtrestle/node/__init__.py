"""One process on an entry host: settings, listeners, watches, start and stop."""
