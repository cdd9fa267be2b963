"""Adapter of the users' platform: names, forms and calls. It decides nothing."""
