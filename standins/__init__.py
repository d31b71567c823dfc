"""Stand-ins for the platform, the runners and callers.

They implement the platform's published protocol for the project's tests, its
demonstration and its experiments.
"""
