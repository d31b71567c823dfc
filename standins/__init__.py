"""Stand-ins for the platform, the runners and callers.

They follow the platform's published protocol and are written for the
project's tests, its demonstration and its experiments.
"""
