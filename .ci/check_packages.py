#!/usr/bin/env python3
"""Holds `packages` in deploy/balancer.toml to the [build] part of deploy/packages.txt, the one list.

Prints what only one of them has and exits 1 where they differ; exits 2 where either cannot be read.
"""
import pathlib
import re
import sys

root = pathlib.Path(sys.argv[1] if len(sys.argv) > 1 else ".")


def listed(text):
    purposes, its = {}, None
    for line in text.splitlines():
        line = line.strip()
        if not line or line.startswith("#"):
            continue
        if line.startswith("["):
            its = purposes.setdefault(line.strip("[]"), [])
        elif its is None:
            print(f"deploy/packages.txt: {line} stands under no purpose")
            sys.exit(2)
        else:
            its.append(line)
    return purposes


purposes = listed((root / "deploy/packages.txt").read_text())
found = re.search(r"^packages *= *\[([^\]]*)\]", (root / "deploy/balancer.toml").read_text(), re.M)
if found is None or "build" not in purposes:
    print("deploy: no packages in balancer.toml, or no [build] in packages.txt")
    sys.exit(2)
deployed, wanted = set(re.findall(r'"([^"]+)"', found.group(1))), set(purposes["build"])
for package in sorted(deployed - wanted):
    print(f"deploy/balancer.toml: {package} is missing under [build] in deploy/packages.txt")
for package in sorted(wanted - deployed):
    print(f"deploy/packages.txt: {package} is missing among the packages of deploy/balancer.toml")
print(
    f"packages: {len(wanted)} to build, {len(set(sum(purposes.values(), [])))} in all, "
    f"{len(deployed ^ wanted)} not agreed"
)
sys.exit(1 if deployed != wanted else 0)
