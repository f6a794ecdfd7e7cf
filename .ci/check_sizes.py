#!/usr/bin/env python3
"""Holds every *.cpp, *.h and *.py to 400 lines, without exception.

Prints a line for each file that is longer and exits 1 where there is any.
"""
import pathlib
import sys

MOST_LINES = 400
SUFFIXES = (".cpp", ".h", ".py")


def is_checked(path):
    return path.suffix in SUFFIXES and not path.parts[0].startswith("build") and ".git" not in path.parts


def main(root):
    files = [path.relative_to(root) for path in sorted(root.rglob("*")) if path.is_file()]
    checked = [path for path in files if is_checked(path)]
    faults = 0
    for path in checked:
        lines = len((root / path).read_text().splitlines())
        if lines > MOST_LINES:
            print(f"{path.as_posix()}: {lines} lines, at most {MOST_LINES}")
            faults += 1
    print(f"sizes: {len(checked)} files, faults: {faults}")
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main(pathlib.Path(sys.argv[1] if len(sys.argv) > 1 else ".")))
