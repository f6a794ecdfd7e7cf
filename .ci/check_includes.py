#!/usr/bin/env python3
"""Holds every #include between the modules under src/ to what their CMakeLists.txt declare under USES.

A module that has public headers in include/MODULE/ shows others these alone. Prints a line for each include that
is not declared and exits 1 if there is any; exits 2 if a declaration itself is wrong (unknown module, cycle).
"""
import argparse
import dataclasses
import pathlib
import re
import sys

KEYWORDS = ("SOURCES", "USES", "LIBRARIES")
# The one library that src/CMakeLists.txt itself declares.
SCHEDULING = "scheduling"
INCLUDE = re.compile(r'\s*#include "([^"/]+)/([^"]+)"')


class DeclarationError(Exception):
    """A CMakeLists.txt that declares no module, an unknown one, or a cycle."""


@dataclasses.dataclass
class Module:
    """One folder under src/: the modules that it declares to use, its files, and its public headers."""

    name: str
    uses: set[str]
    files: list[pathlib.Path]
    public_headers: set[str] = dataclasses.field(default_factory=set)

    def shows(self, header: str) -> bool:
        """Whether other modules may include the header."""
        return not self.public_headers or header in self.public_headers


def sources_in(folder: pathlib.Path) -> list[pathlib.Path]:
    return [file for file in sorted(folder.iterdir()) if file.suffix in (".cpp", ".h") and file.name != "main.cpp"]


def read_scheduling(root: pathlib.Path) -> Module:
    text = (root / "src/CMakeLists.txt").read_text()
    linked = re.search(rf"target_link_libraries\({SCHEDULING} PRIVATE ([^)]*)\)", text)
    uses = {library.removeprefix("willowrail_") for library in linked.group(1).split()} if linked else set()
    public = sorted((root / "include" / SCHEDULING).glob("*.h"))
    return Module(SCHEDULING, uses, sources_in(root / "src" / SCHEDULING) + public, {file.name for file in public})


def read_module(cmake: pathlib.Path) -> Module:
    name = cmake.parent.name
    declared = re.search(r"add_module\(\s*(\w+)([^)]*)\)", cmake.read_text())
    if declared is None or declared.group(1) != name:
        raise DeclarationError(f"{cmake}: no add_module({name} ...) in it")
    lists: dict[str, set[str]] = {keyword: set() for keyword in KEYWORDS}
    current = None
    for word in declared.group(2).split():
        if word in lists:
            current = word
        elif current is not None:
            lists[current].add(word)
    return Module(name, lists["USES"], sources_in(cmake.parent))


def read_modules(root: pathlib.Path) -> dict[str, Module]:
    modules = [
        read_scheduling(root),
        *(read_module(cmake) for cmake in sorted((root / "src").glob("*/CMakeLists.txt"))),
    ]
    return {module.name: module for module in modules}


def check_declarations(modules: dict[str, Module]) -> None:
    """Raises DeclarationError if a module uses one that does not exist, or itself by way of others."""
    for module in modules.values():
        for unknown in sorted(module.uses - modules.keys()):
            raise DeclarationError(f"src/{module.name}/CMakeLists.txt: uses {unknown}, which is no module")

    def visit(name: str, path: list[str]) -> None:
        if name in path:
            raise DeclarationError(
                "modules use each other in a cycle: " + " -> ".join([*path[path.index(name) :], name])
            )
        for used in sorted(modules[name].uses):
            visit(used, [*path, name])

    for name in modules:
        visit(name, [])


def undeclared_includes(module: Module, modules: dict[str, Module]) -> tuple[list[str], int]:
    """The faults of one module, a line each, and how many includes were looked at."""
    faults, includes = [], 0
    for file in module.files:
        for number, line in enumerate(file.read_text().splitlines(), 1):
            found = INCLUDE.match(line)
            if found is None:
                continue
            includes += 1
            used, header = found.groups()
            if used == module.name:
                continue
            if used not in module.uses:
                faults.append(
                    f"{file}:{number}: includes from {used}, which src/{module.name}/CMakeLists.txt does not " "declare"
                )
            elif not modules[used].shows(header):
                faults.append(f"{file}:{number}: includes {used}/{header}, which is internal to {used}")
    return faults, includes


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("root", type=pathlib.Path, nargs="?", default=pathlib.Path("."))
    root = parser.parse_args().root
    try:
        modules = read_modules(root)
        check_declarations(modules)
    except DeclarationError as error:
        print(error)
        return 2
    results = [undeclared_includes(module, modules) for module in modules.values()]
    faults = [fault for module_faults, _ in results for fault in module_faults]
    for fault in faults:
        print(fault)
    print(
        f"modules: {len(modules)}, includes between and within them: {sum(count for _, count in results)}, "
        f"not declared: {len(faults)}"
    )
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
