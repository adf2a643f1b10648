"""Measurements of the decision code on a manual clock, by programs of the packages that print JSON lines themselves."""
import os
import subprocess

from ..fleet import BUILD


def _wrapper(package):
    path = os.path.join(BUILD, "src", package, f"{package}_measure")

    def run(options, report):
        if not os.path.exists(path):
            raise FileNotFoundError(f"{path} is not built")
        report.note(f"running {path}")
        subprocess.run([path, "--seed", str(options.seed)], check=True, timeout=300)
    run.__doc__ = f"Decision code of {package} on a manual clock ({package}_measure)."
    return run


limits = _wrapper("limits")
health = _wrapper("health")
routing = _wrapper("routing")
membership = _wrapper("membership")
