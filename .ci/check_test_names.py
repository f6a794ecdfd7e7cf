#!/usr/bin/env python3
"""Holds the names of test cases to what CTest can run: a ';' cuts the name, and what is left runs no test and passes.

Prints a line for each fault and exits 1 where there is any.
"""
import pathlib
import re
import sys

root = pathlib.Path(sys.argv[1] if len(sys.argv) > 1 else ".")
case = re.compile(r'\b(?:TEST_CASE|TEST_CASE_FIXTURE)\(\s*(?:\w+\s*,\s*)?((?:"(?:[^"\\\\]|\\\\.)*"\s*)+)')
faults, names = [], 0
for file in sorted((root / "tests").rglob("*.cpp")):
    text = file.read_text()
    for found in case.finditer(text):
        names += 1
        if ";" in found.group(1):
            faults.append(
                f"{file.relative_to(root)}:{text.count(chr(10), 0, found.start()) + 1}: ';' in the name of a test"
            )
print(*faults, f"names of tests: {names}, faults: {len(faults)}", sep="\n")
sys.exit(1 if faults or not names else 0)
