"""JSON lines on standard output, readable notes on standard error, and the statistics that the cases share."""
import json
import sys
from bisect import insort


class Report:
    """Prints one line per metric of one case."""

    def __init__(self, case, seed):
        self._case = case
        self._seed = seed

    def __call__(self, metric, value, unit, variant="papayastep", seed=None, **extra):
        line = {"case": self._case, "variant": variant, "metric": metric,
                "value": round(value, 6) if isinstance(value, float) else value, "unit": unit,
                "seed": self._seed if seed is None else seed, **extra}
        print(json.dumps(line), flush=True)

    def note(self, text):
        print(f"{self._case}: {text}", file=sys.stderr, flush=True)


def percentile(values, share):
    ordered = sorted(values)
    return ordered[int(share * (len(ordered) - 1))] if ordered else 0.0


def worst_excess(times, rate, burst):
    """Returns the largest excess of events at `times` over rate x t + burst in any window. Negative: no excess."""
    worst = -burst
    lowest = float("inf")
    for index, time in enumerate(sorted(times)):
        lowest = min(lowest, index - rate * time)
        worst = max(worst, index + 1 - rate * time - lowest - burst)
    return worst


def worst_excess_of_spans(spans, rate, burst):
    """Like worst_excess() for events known only to lie within (begin, end): counts those entirely inside a window."""
    worst = -burst
    ends = []
    for begin, end in sorted(spans, reverse=True):
        insort(ends, end)
        for index, last in enumerate(ends):
            worst = max(worst, index + 1 - rate * (last - begin) - burst)
    return worst


def slope(points):
    """Returns (slope, intercept) of the least-squares line through [(x, y)]."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    rise = sum((x - mean_x) * (y - mean_y) for x, y in points)
    return (rise / spread, mean_y - rise / spread * mean_x) if spread else (0.0, mean_y)
