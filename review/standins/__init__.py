"""Stand-ins for the platform, backend servers and callers of the cases."""
