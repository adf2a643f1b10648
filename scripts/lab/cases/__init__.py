"""The cases of scripts/measure. Each is a function of (options, report) whose docstring's first line describes it."""
