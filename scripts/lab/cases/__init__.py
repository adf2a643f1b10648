"""The cases of scripts/measure. Each is a function of (options, report) whose first line of doc says what it shows."""
