"""Stand-ins for the platform, runners and workers."""
