"""Runs clang-tidy in parallel and remembers clean files by a hash of all that they include."""
import concurrent.futures
import hashlib
import json
import os
import re
import shlex
import subprocess
import sys

CACHE = os.path.join(".cache", "lint")
# clang 14 has C++20 coroutines but does not announce them the way libstdc++ 12 and Boost.Asio ask for.
EXTRA = ["-D__cpp_impl_coroutine=201902L", "-DBOOST_ASIO_HAS_CO_AWAIT", "-DBOOST_ASIO_HAS_STD_COROUTINE",
         "-Wno-unknown-warning-option", "-Wno-everything", "-Wno-unused-command-line-argument"]


def digest_of(entry):
    """A hash over the file's preprocessed text, the tool's settings and its version."""
    arguments = shlex.split(entry["command"])
    while arguments and os.path.basename(arguments[0]) in ("ccache",):
        arguments = arguments[1:]
    keep = [a for a in arguments[1:] if a.startswith(("-I", "-D", "-std", "-isystem")) or a.startswith("/")]
    text = subprocess.run(["g++", "-E", "-P", *[a for a in keep if not a.endswith(".o")]],
                          cwd=entry["directory"], capture_output=True, check=True).stdout
    settings = open(".clang-tidy", "rb").read() + open(__file__, "rb").read()
    return hashlib.sha256(text + settings).hexdigest()


def lint(build, entry):
    """Returns None if the file is clean, else what clang-tidy printed."""
    try:
        digest = digest_of(entry)
    except subprocess.CalledProcessError as error:
        return f"{entry['file']}: cannot be preprocessed\n{error.stderr.decode()[-2000:]}"
    mark = os.path.join(CACHE, digest)
    if os.path.exists(mark):
        return None
    run = subprocess.run(["clang-tidy", "-quiet", "-p", build, *[f"--extra-arg={a}" for a in EXTRA], entry["file"]],
                         capture_output=True, text=True)
    if run.returncode == 0 and not re.search(r": (warning|error):", run.stdout):
        open(mark, "w").close()
        return None
    return run.stdout + run.stderr


def main():
    build, wanted = sys.argv[1], [os.path.abspath(name) for name in sys.argv[2:]]
    os.makedirs(CACHE, exist_ok=True)
    here = tuple(os.path.abspath(folder) + os.sep for folder in ("src", "platform"))
    entries = [e for e in json.load(open(os.path.join(build, "compile_commands.json")))
               if e["file"].startswith(here) and (not wanted or e["file"] in wanted)]
    unique = list({e["file"]: e for e in entries}.values())
    with concurrent.futures.ThreadPoolExecutor(int(os.environ.get("LINT_JOBS", os.cpu_count()))) as pool:
        reports = [report for report in pool.map(lambda e: lint(build, e), unique) if report]
    for report in reports:
        print(report)
    print(f"lint: {len(unique) - len(reports)} of {len(unique)} files are clean")
    return 1 if reports else 0


sys.exit(main())
