#!/usr/bin/env python3
"""Plays one entry of KNOWN-RED.txt again, copies side by side and beside load, and keeps the logs of those that fail.

  replay.py ENTRY [--copies 24] [--rounds 4] [--busy 8] [--timeout-s 180] [--keep FOLDER]

ENTRY is its number in the list, from 1, or a part of its test's name. Prints a line a round and, last, how many failed.
Exits 0 where none failed, 1 where one did, 2 where the list or the entry cannot be right.
"""
import argparse
import pathlib
import sys
import tempfile

import known_red

USAGE_ERROR = 2


def positive(text: str) -> int:
    number = int(text)
    if number < 1:
        raise argparse.ArgumentTypeError(f"{number}, legal is 1 or more")
    return number


def parse_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("entry")
    parser.add_argument("--root", type=pathlib.Path, default=pathlib.Path("."))
    parser.add_argument("--copies", type=positive, default=24, help="side by side")
    parser.add_argument("--rounds", type=positive, default=4)
    parser.add_argument("--busy", type=int, default=8, help="busy processes beside them")
    parser.add_argument("--timeout-s", type=float, default=180, help="a copy that takes longer counts as failed")
    parser.add_argument("--keep", type=pathlib.Path, help="folder for the logs of copies that failed")
    return parser.parse_args()


def main() -> int:
    arguments = parse_arguments()
    try:
        entry = known_red.find(known_red.read(arguments.root), arguments.entry)
    except known_red.KnownRedError as error:
        print(error, file=sys.stderr)
        return USAGE_ERROR
    keep = arguments.keep or pathlib.Path(tempfile.mkdtemp(prefix="replay-"))
    failed = 0
    for number in range(arguments.rounds):
        folder = keep / f"round-{number}"
        bad = known_red.play(entry, arguments.root, arguments.copies, arguments.busy, arguments.timeout_s, folder)
        failed += bad
        print(f"round {number}: {bad} of {arguments.copies} failed", flush=True)
    logs = f"; logs in {keep}" if failed else ""
    print(f"{failed} of {arguments.rounds * arguments.copies} failed: {entry.test}{logs}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
