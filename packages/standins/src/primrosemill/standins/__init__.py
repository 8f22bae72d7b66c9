"""Stand-ins for the platform and backend servers in tests and demos."""
