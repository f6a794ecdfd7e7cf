#!/usr/bin/env python3
"""Compares what each room under src/ includes with the rooms that its CMakeLists.txt declares under USES.

Prints a line for each include that is not declared and exits 1 where there is any; exits 2 where the
declarations themselves cannot be right (an unknown room, a cycle).
"""
import pathlib
import re
import sys

root = pathlib.Path(sys.argv[1] if len(sys.argv) > 1 else ".")
src = root / "src"
module = re.search(r"target_link_libraries\(passbridge PRIVATE ([^)]*)\)", (src / "CMakeLists.txt").read_text())
uses = {"passbridge": {word.removeprefix("willowrail_") for word in (module.group(1).split() if module else [])}}
# The decision module: installed under a name of its own, its files in a folder that no other room may see into.
MODULE = "decide"
files = {"passbridge": [*sorted((src / MODULE).glob("*.*")), *sorted((root / "include").rglob("*.h"))]}
for cmake in sorted(src.glob("*/CMakeLists.txt")):
    text = cmake.read_text()
    declared = re.search(r"willowrail_room\(\s*(\w+)([^)]*)\)", text)
    if declared is None or declared.group(1) != cmake.parent.name:
        print(f"{cmake}: no willowrail_room({cmake.parent.name} ...) in it")
        sys.exit(2)
    words = declared.group(2).split()
    key, lists = None, {"SOURCES": [], "USES": [], "LIBRARIES": []}
    for word in words:
        if word in lists:
            key = word
        else:
            lists[key].append(word)
    room = cmake.parent.name
    uses[room] = set(lists["USES"])
    files[room] = [f for f in sorted(cmake.parent.iterdir()) if f.suffix in (".cpp", ".h") and f.name != "main.cpp"]
for room, its in uses.items():
    for other in its - uses.keys():
        print(f"src/{room}/CMakeLists.txt: uses {other}, which is no room")
        sys.exit(2)


def cycle(room, way):
    if room in way:
        print("rooms use each other in a circle: " + " -> ".join([*way[way.index(room):], room]))
        sys.exit(2)
    for other in uses[room]:
        cycle(other, [*way, room])


bad = 0
includes = 0
for room in uses:
    cycle(room, [])
    for file in files[room]:
        for number, line in enumerate(file.read_text().splitlines(), 1):
            found = re.match(r'\s*#include "([^"/]+)/', line)
            if found is None:
                continue
            includes += 1
            if found.group(1) not in uses[room] | ({room, MODULE} if room == "passbridge" else {room}):
                print(f"{file}:{number}: includes from {found.group(1)}, which src/{room}/CMakeLists.txt does not declare")
                bad += 1
print(f"rooms: {len(uses)}, includes between and within them: {includes}, not declared: {bad}")
sys.exit(1 if bad else 0)
