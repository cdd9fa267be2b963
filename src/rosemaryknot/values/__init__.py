"""Outcomes, identifiers and typed messages; nothing here holds state."""
