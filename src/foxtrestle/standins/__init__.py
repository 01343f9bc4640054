"""Stand-ins for the platform, its workers and the upstreams, for tests and the trial."""
