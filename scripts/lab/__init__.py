"""Runs real nodes against stand-ins for tests and measurements.

Uses the standard library only, and ends every process by its id.
"""
