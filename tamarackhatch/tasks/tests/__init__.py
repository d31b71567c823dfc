"""Tests of the owner's work on workers."""
