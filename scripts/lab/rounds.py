"""Measurements with the same days and seeds before and after a change."""
import json
import os
import statistics
import subprocess
import tempfile
from concurrent.futures import ThreadPoolExecutor


def load(path):
    with open(path, encoding="utf-8") as file:
        return json.load(file)


def save(path, plays):
    with open(path, "w", encoding="utf-8") as file:
        json.dump(plays, file, indent=1)


def figure(report, path):
    """Returns the value at a dotted path. Numeric parts index lists."""
    for part in path.split("."):
        report = report[int(part)] if isinstance(report, list) else report[part]
    return report


def play_once(plan, names, day, seed):
    """Runs the command once. The figures are empty if it wrote no report."""
    with tempfile.TemporaryDirectory(prefix="papayastep-round-") as folder:
        report = os.path.join(folder, "report.json")
        values = {**names, "day": day, "seed": seed, "report": report}
        command = [word.format(**values) for word in plan["command"]]
        run = subprocess.run(command, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True, check=False)
        if not os.path.exists(report):
            print(f"{day} with seed {seed} wrote no report:\n{run.stdout}")
            return {"day": day, "seed": seed, "figures": {}}
        content = load(report)
    return {"day": day, "seed": seed,
            "figures": {name: figure(content, path) for name, path in plan["figures"].items()}}


def play(plan, names, days, seeds, jobs):
    """Runs all days with all seeds, `jobs` runs at a time."""
    with ThreadPoolExecutor(jobs) as pool:
        tasks = [pool.submit(play_once, plan, names, day, seed) for day in days for seed in seeds]
        return [task.result() for task in tasks]


def numbers(plays):
    """Returns {(day, figure): values of all seeds} for the numeric figures."""
    values = {}
    for entry in plays:
        for name, value in entry["figures"].items():
            if isinstance(value, (int, float)):
                values.setdefault((entry["day"], name), []).append(value)
    return values


def notes(plays):
    """Returns the non-numeric figures, such as violated rules, as lines of text."""
    found = []
    for entry in plays:
        for name, value in entry["figures"].items():
            if not isinstance(value, (int, float)) and value:
                found.append(f"{entry['day']} seed {entry['seed']}: {name} {json.dumps(value)}")
    return found


def is_whole(figures):
    """Returns whether a run has valid figures. A run with a fault is not comparable."""
    return bool(figures) and not figures.get("fault")


def names_of(values):
    return list(dict.fromkeys(name for _, name in values))


def table(plays):
    """Returns a table of each figure's mean and, for the first figure, its values by seed."""
    values = numbers(plays)
    names = names_of(values)
    lines = [f"{'day':12}" + "".join(f"{name:>10}" for name in names) + "   " + (names[0] if names else "") + " by seed"]
    for day in dict.fromkeys(entry["day"] for entry in plays):
        means = "".join(f"{statistics.mean(values.get((day, name), [float('nan')])):10.3f}" for name in names)
        seeds = " ".join(f"{value:.3f}" for value in values.get((day, names[0]), [])) if names else ""
        lines.append(f"{day:12}{means}   {seeds}")
    return "\n".join(lines + notes(plays))


def comparison(before, after):
    """Returns a table of paired differences (after minus before) of runs with the same day and seed."""
    earlier = {(entry["day"], entry["seed"]): entry["figures"] for entry in before}
    pairs = [(entry["day"], earlier[entry["day"], entry["seed"]], entry["figures"]) for entry in after
             if is_whole(earlier.get((entry["day"], entry["seed"]))) and is_whole(entry["figures"])]
    names = names_of(numbers(after))
    lines = [f"{'day':12}{'pairs':>6}" + "".join(f"{name:>10}" for name in names)
             + f"   {names[0] if names else ''} by pair"]
    for day in [*dict.fromkeys(pair[0] for pair in pairs), "all"]:
        chosen = [pair for pair in pairs if day in (pair[0], "all")]
        differences = {name: [new[name] - old[name] for _, old, new in chosen if name in old] for name in names}
        means = "".join(f"{statistics.mean(differences[name] or [float('nan')]):+10.3f}" for name in names)
        by_pair = " ".join(f"{value:+.3f}" for value in differences[names[0]]) if day != "all" else ""
        lines.append(f"{day:12}{len(chosen):6}{means}   {by_pair}")
    return "\n".join(lines + notes(after))
