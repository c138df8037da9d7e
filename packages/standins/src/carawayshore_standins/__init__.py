"""Stand-ins for the platform, its workers and callers."""
