"""Model of a fleet, to compare scheduling policies without a deployment.

The real scheduler runs in virtual time against model runners on which tasks
interfere with each other, under a generated load. See docs/fleet-model.md.
"""
