"""Runs real nodes among stand-ins for tests and measures. Standard library only; every process is ended by its id."""
