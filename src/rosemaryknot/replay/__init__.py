"""Scenarios, traces and experiments in virtual time."""
