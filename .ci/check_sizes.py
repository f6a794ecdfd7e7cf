#!/usr/bin/env python3
"""Holds every *.cpp, *.h and *.py to 400 lines. The files that were longer stand in .ci/sizes.txt with their
lines; they may only shrink, so that the list is held to what they have now.

Prints a line for each fault and exits 1 where there is any.
"""
import pathlib
import sys

MOST = 400
root = pathlib.Path(sys.argv[1] if len(sys.argv) > 1 else ".")
bounds = {}
for line in (root / ".ci/sizes.txt").read_text().splitlines():
    if line and not line.startswith("#"):
        lines, path = line.split()
        bounds[path] = int(lines)

found = {}
for file in sorted(root.rglob("*")):
    path = file.relative_to(root)
    if file.suffix in (".cpp", ".h", ".py") and not path.parts[0].startswith("build") and ".git" not in path.parts:
        found[path.as_posix()] = len(file.read_text().splitlines())
faults = []
for path, lines in found.items():
    bound = bounds.get(path, MOST)
    if lines > bound:
        faults.append(f"{path}: {lines} lines, at most {bound}")
for path, bound in bounds.items():
    lines = found.get(path, 0)
    if lines <= MOST:
        faults.append(f".ci/sizes.txt: {path} has {lines} lines now, take it off the list")
    elif lines < bound:
        faults.append(f".ci/sizes.txt: {path} has {lines} lines now, lower its bound of {bound}")
print(*faults, f"sizes: {len(found)} files, {len(bounds)} of them over {MOST} lines, faults: {len(faults)}", sep="\n")
sys.exit(1 if faults else 0)
