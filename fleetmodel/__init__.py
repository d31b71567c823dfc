"""Model of a fleet, to compare scheduling policies without a deployment.

The real scheduler runs in virtual time under a generated load. Its runners are
simulated, and so is the interference of their tasks. See docs/fleet-model.md.
"""
