"""Limits of customers that hold over all instances."""
