"""Stand-ins of the users' platform, its servers and callers, for the cases."""
