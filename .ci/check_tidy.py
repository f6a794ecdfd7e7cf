#!/usr/bin/env python3
"""Runs clang-tidy by .clang-tidy over the folders that .ci/lint_folders.txt lists, headers included.

  check_tidy.py BUILD [--root .] [--jobs N] [--folders FILE] [--config-file FILE]

BUILD is a folder with compile_commands.json; FILE is another list of folders, or another configuration, in the root.

Prints what clang-tidy finds and exits 1 where there is anything; exits 2 where the list cannot be right.
"""
import argparse
import concurrent.futures
import os
import pathlib
import re
import subprocess
import sys
import time


def read_folders(listed):
    lines = listed.read_text().splitlines()
    return [line.strip() for line in lines if line.strip() and not line.startswith("#")]


def sources_of(root, listed, folders):
    sources = []
    for folder in folders:
        found = sorted((root / folder).rglob("*.cpp"))
        if not found:
            print(f"{listed}: {folder} has no sources")
            sys.exit(2)
        sources += found
    return sources


def check(source, build, options):
    command = ["clang-tidy", "-p", str(build), "--quiet", *options, str(source)]
    done = subprocess.run(command, capture_output=True, text=True)
    return done.returncode, done.stdout or done.stderr


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("build", type=pathlib.Path)
    parser.add_argument("--root", type=pathlib.Path, default=pathlib.Path("."))
    parser.add_argument("--jobs", type=int, default=len(os.sched_getaffinity(0)))
    parser.add_argument("--folders", default=".ci/lint_folders.txt")
    parser.add_argument("--config-file", help="in place of .clang-tidy")
    arguments = parser.parse_args()
    begun = time.monotonic()
    root = arguments.root.resolve()
    folders = read_folders(root / arguments.folders)
    sources = sources_of(root, arguments.folders, folders)
    options = ["--header-filter=(^|/)(" + "|".join(map(re.escape, folders)) + ")/"]
    if arguments.config_file:
        options.append(f"--config-file={root / arguments.config_file}")
    faulty = 0
    with concurrent.futures.ThreadPoolExecutor(arguments.jobs) as pool:
        runs = [pool.submit(check, source, arguments.build, options) for source in sources]
        for run in runs:
            code, text = run.result()
            if code != 0:
                faulty += 1
                print(text, flush=True)
    print(
        f"clang-tidy: {len(sources)} sources in {len(folders)} folders, with faults: {faulty}, "
        f"{time.monotonic() - begun:.0f} s"
    )
    return 1 if faulty else 0


if __name__ == "__main__":
    sys.exit(main())
