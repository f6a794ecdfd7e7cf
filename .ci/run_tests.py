#!/usr/bin/env python3
"""Runs the tests of a build folder by CTest, those that KNOWN-RED.txt lists apart from the others.

  run_tests.py BUILD [--root .] [--jobs N]     BUILD is a folder that CMake has configured and built

A listed test does not decide the verdict. It is played a fixed number of times by its command, and how often it failed
is printed, so that a fault that got worse, or one that is gone, is seen. .ci/known_red.py has the form of the list.
Exits with the status of CTest for all other tests; exits 2, before any test runs, where the list cannot be right.
"""
import argparse
import json
import os
import pathlib
import re
import subprocess
import sys
import tempfile

import known_red

PLAYS_OF_KNOWN_RED = 5
PLAY_TIMEOUT_S = 120
USAGE_ERROR = 2


def existing_tests(build: pathlib.Path) -> set[str]:
    """The names of all tests that CTest knows in the build folder."""
    command = ["ctest", "--test-dir", str(build), "--show-only=json-v1"]
    done = subprocess.run(command, capture_output=True, text=True, check=True)
    return {test["name"] for test in json.loads(done.stdout)["tests"]}


def exactly(names: list[str]) -> str:
    """A regular expression of CMake's dialect that matches these names and no other text."""
    escaped = [re.sub(r"([][.^$*+?()|\\])", r"\\\1", name) for name in names]
    return "^(" + "|".join(escaped) + ")$"


def ctest_command(build: pathlib.Path, jobs: int, known: list[known_red.Entry]) -> list[str]:
    command = ["ctest", "--test-dir", str(build), "--output-on-failure", "--no-tests=error", "-j", str(jobs)]
    if known:
        command += ["--exclude-regex", exactly(sorted({entry.test for entry in known}))]
    return command


def play_known_red(known: list[known_red.Entry], root: pathlib.Path) -> None:
    """Plays each entry and prints its verdict, which does not count."""
    with tempfile.TemporaryDirectory() as folder:
        for number, entry in enumerate(known, 1):
            keep = pathlib.Path(folder, str(number))
            failed = known_red.play(entry, root, PLAYS_OF_KNOWN_RED, 0, PLAY_TIMEOUT_S, keep)
            print(f"known to fail: {failed} of {PLAYS_OF_KNOWN_RED} failed: {entry.test}: {entry.seen} ({entry.issue})")
    print(f"tests known to fail: {len(known)}", flush=True)


def default_jobs() -> int:
    """As many as CTEST_PARALLEL_LEVEL says; without it, one for each core that this process may use."""
    return int(os.environ.get("CTEST_PARALLEL_LEVEL") or len(os.sched_getaffinity(0)))


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("build", type=pathlib.Path)
    parser.add_argument("--root", type=pathlib.Path, default=pathlib.Path("."))
    parser.add_argument("--jobs", type=int, default=default_jobs())
    arguments = parser.parse_args()
    try:
        known = known_red.read(arguments.root)
        known_red.check(known, existing_tests(arguments.build), arguments.root)
    except known_red.KnownRedError as error:
        print(error)
        return USAGE_ERROR
    play_known_red(known, arguments.root)
    done = subprocess.run(ctest_command(arguments.build, arguments.jobs, known), check=False)
    return done.returncode


if __name__ == "__main__":
    sys.exit(main())
