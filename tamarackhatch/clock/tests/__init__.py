"""Tests of the clock."""
