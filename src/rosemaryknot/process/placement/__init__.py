"""Placement: which instances there are, decided by the holder of a lease."""
