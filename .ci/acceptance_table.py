#!/usr/bin/env python3
"""Prints the rows that .ci/acceptance appended as two Markdown tables: one row for each site, day, nodes and build,
and one row for each play that did not pass, with the bench's words."""
import csv
import pathlib
import sys

RULES_KEPT = "rules kept, no fault"


def passed(play):
    return play["rules"] == RULES_KEPT and play["exit"] == "0" and play["result"] != "-"


def spans(seeds):
    """[1, 2, 3, 7] as '1-3, 7'."""
    parts = []
    for seed in sorted(seeds):
        if parts and parts[-1][1] == seed - 1:
            parts[-1][1] = seed
        elif not parts or parts[-1][1] != seed:
            parts.append([seed, seed])
    return ", ".join(str(first) if first == last else f"{first}-{last}" for first, last in parts)


def main():
    with pathlib.Path(sys.argv[1]).open(newline="") as file:
        plays = list(csv.DictReader(file, delimiter="\t", quoting=csv.QUOTE_NONE))
    groups = {}
    for play in plays:
        groups.setdefault(tuple(play[key] for key in ("site", "day", "nodes", "build")), []).append(play)
    print("| site | day | nodes | build | seeds | plays | not passed | lowest | mean |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
    for key, group in sorted(groups.items()):
        figures = [float(play["result"]) for play in group if play["result"] != "-"]
        lowest = f"{min(figures):.2f}" if figures else "-"
        mean = f"{sum(figures) / len(figures):.2f}" if figures else "-"
        failures = sum(not passed(play) for play in group)
        cells = [*key, spans([int(play["seed"]) for play in group]), len(group), failures, lowest, mean]
        print("| " + " | ".join(str(cell) for cell in cells) + " |")
    print("\n| site | day | nodes | seed | build | exit status | what the bench said |")
    print("| --- | --- | --- | --- | --- | --- | --- |")
    for play in plays:
        if not passed(play):
            cells = [play[key] for key in ("site", "day", "nodes", "seed", "build", "exit", "rules")]
            print("| " + " | ".join(cell.replace("|", "/") for cell in cells) + " |")


if __name__ == "__main__":
    main()
