#!/usr/bin/env python3
"""Soaks the program: shutdowns under clients that go on asking, signals in series, crowds, all drawn from a seed.

  soak.py run [--seeds 1-50] [--length 30] [--jobs 4] [--keep DIR] [--program FILE]
  soak.py run --seeds 7 --faults 0-3      the same seed with only these of its faults
  soak.py plan --seed 7 [--length 30]     what a seed does, as JSON

Prints a line a seed, then what was broken with the command that plays it again; a seed that breaks a rule is played
once more with half of its faults, to see whether these are enough. Exits 1 where a rule was broken, 2 on bad input.
"""
import argparse
import concurrent.futures
import json
import pathlib
import re
import sys
import tempfile

import soak_plan
import soak_play
import trial

MOST_SEED = 2**32
LENGTH_S = (6, 600)
MOST_SHOWN = 4


def seed_range(text):
    """'1-3,7' as [1, 2, 3, 7]."""
    found = []
    for part in text.split(","):
        match = re.fullmatch(r"(\d+)(?:-(\d+))?", part.strip())
        first, last = (int(match[1]), int(match[2] or match[1])) if match else (1, 0)
        if not first <= last <= MOST_SEED:
            raise argparse.ArgumentTypeError(f"`{part}` is no seed or range, legal are 7, 1-50 and 1-3,7, up to 2^32")
        found += range(first, last + 1)
    return found


def length(text):
    if not re.fullmatch(r"\d+", text) or not LENGTH_S[0] <= int(text) <= LENGTH_S[1]:
        raise argparse.ArgumentTypeError(f"`{text}`, legal are whole seconds from {LENGTH_S[0]} to {LENGTH_S[1]}")
    return int(text)


def positive(text):
    if not re.fullmatch(r"[1-9]\d*", text):
        raise argparse.ArgumentTypeError(f"`{text}`, legal is a whole number from 1 on")
    return int(text)


def play_plan(options, plan, folder):
    """Plays a plan and returns the judge's verdict, with `bad` for what the rig itself found."""
    folder.mkdir(parents=True, exist_ok=True)
    for old in folder.glob("*.jsonl"):
        old.unlink()
    soak = soak_play.SoakTrial(options.build, options.program, plan, folder)
    soak.slack_ms = options.slack_ms
    try:
        bad = soak.play()
    except SystemExit as error:
        bad = [str(error)]
    finally:
        soak.end()
    code, out, err = trial.tool(options.build, "judge", folder, "--json", "--slack-ms", options.slack_ms)
    if code > 1 or not out:
        raise SystemExit(f"soak: the judge could not work: {err.strip()}")
    return {**json.loads(out), "bad": bad, "restarts": soak.restarts}


def play_seed(options, seed, keep_faults=None):
    plan = soak_plan.draw(seed, options.length)
    if keep_faults is not None:
        plan["faults"] = [plan["faults"][i] for i in keep_faults if i < len(plan["faults"])]
    with tempfile.TemporaryDirectory(prefix="willowrail-soak-") as temporary:
        folder = pathlib.Path(options.keep or temporary) / f"soak-{seed}"
        return plan, play_plan(options, plan, folder)


def broken(verdict):
    return [f"BROKEN {breach['rule']}: {breach['about']}" for breach in verdict["breaches"]] + verdict["bad"]


def rules(verdict):
    return {breach["rule"] for breach in verdict["breaches"]} | {re.sub(r"\d+", "N", text) for text in verdict["bad"]}


def halves(plan):
    """Two halves of a plan's faults by their numbers, as `--faults` takes them."""
    count = len(plan["faults"])
    middle = (count + 1) // 2
    return [part for part in (range(middle), range(middle, count)) if 0 < len(part) < count]


def shrink(options, seed, plan, verdict):
    """The first half of the faults that breaks one of the same rules in one play, as text; empty where neither does."""
    for half in halves(plan):
        _, again = play_seed(options, seed, half)
        if rules(again) & rules(verdict):
            return f" --faults {half[0]}-{half[-1]}"
    return ""


def run(options):
    failed = 0
    with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
        plays = [(seed, pool.submit(play_seed, options, seed, options.faults)) for seed in options.seeds]
        for seed, running in plays:
            plan, verdict = running.result()
            restarts = f", {len(plan['faults'])} faults, {verdict['restarts']} restarts"
            print(trial.line("soak", seed, verdict) + restarts, flush=True)
            found = broken(verdict)
            if not found:
                continue
            failed += 1
            for text in found[:MOST_SHOWN]:
                print(f"    {text}")
            enough = shrink(options, seed, plan, verdict) if options.faults is None else ""
            print(
                f"    again: python3 bench/faults/soak.py run --seeds {seed} --length {options.length}{enough}",
                flush=True,
            )
    print(f"soak: {len(options.seeds)} seeds of {options.length} s, {failed} with a rule broken")
    return 1 if failed else 0


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--build", default=str(trial.ROOT / "build-bench"), help="folder of the build with benchmarks")
    commands = parser.add_subparsers(dest="command", required=True)
    play = commands.add_parser("run")
    play.add_argument("--seeds", type=seed_range, default=seed_range("1-50"))
    play.add_argument("--faults", type=seed_range, help="play only these of the seed's faults, counted from 0")
    play.add_argument("--length", type=length, default=30, help="seconds of load")
    play.add_argument("--jobs", type=positive, default=4)
    play.add_argument("--program", type=pathlib.Path)
    play.add_argument("--slack-ms", type=positive, default=250, help="on top of the protocol's 50 ms: a busy machine")
    play.add_argument("--keep", type=pathlib.Path, help="keep the records in a folder here")
    plan = commands.add_parser("plan")
    plan.add_argument("--seed", type=seed_range, required=True)
    plan.add_argument("--length", type=length, default=30)
    options = parser.parse_args()
    if options.command == "plan":
        for seed in options.seed:
            print(json.dumps(soak_plan.draw(seed, options.length)))
        return 0
    options.program = options.program or pathlib.Path(options.build) / "cluster_manager"
    return run(options)


if __name__ == "__main__":
    sys.exit(main())
