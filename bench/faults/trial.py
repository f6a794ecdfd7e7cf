#!/usr/bin/env python3
"""Trials with faults: several real cluster managers among stand-ins, with a relay between every two of them.

  trial.py run SCENARIO... [--seeds 3 | --seed 17] [--jobs 2] [--program FILE] [--keep DIR]
  trial.py list

A scenario (bench/faults/scenarios, shape in scenario.schema.json) and a seed make a plan in which nothing is left
to chance. What the stand-ins saw is judged by `faults judge`; a seed that fails prints the command that plays it
again. All processes are children of this one and end with it.
"""
import argparse
import concurrent.futures
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
import rig  # noqa: E402

ROOT = HERE.parent.parent
SCENARIOS = HERE / "scenarios"
FREE_EVERY_MS = 500


class Trial:
    """One play of a plan. Names: m0 (cluster manager), n0 (node), o0 (owner), list; pairs as "m0>n3"."""

    def __init__(self, build, program, plan, folder, settings=None, arguments=()):
        self.build, self.program, self.plan = pathlib.Path(build), pathlib.Path(program), plan
        self.folder = pathlib.Path(folder)
        self.fleet = fleet = plan["fleet"]
        self.children, self.timed = [], []
        self.arguments = list(arguments)
        self.managers = [None] * fleet["managers"]
        self.logs = []
        self.records = open(self.folder / "rig.jsonl", "w")
        self.seed = plan["seed"]
        self.cores = fleet.get("node_cores", 8)
        self.settings = settings or self.usual_settings()
        self.number = 1
        self.heard_free = {}
        self.seen = {}

    def usual_settings(self):
        out = rig.settings()
        halls = ["hall-" + chr(ord("a") + i) for i in range(self.fleet["halls"])]
        out["Zones"] = halls
        out["GroupSize"] = self.fleet["managers"]
        out["FamilyInfo"]["CoresByKind"] = [self.cores]
        out["FamilyInfo"]["MemoryByKind"] = [self.cores * 1.6]
        return out

    # --- Processes ---
    def child(self, *arguments, **more):
        made = rig.Child(*arguments, **more)
        self.children.append(made)
        return made

    def standin(self, role, **flags):
        words = [self.build / "bench/standin", role]
        for key, value in flags.items():
            words += ["--" + key.replace("_", "-"), value]
        return self.child(words)

    def note(self, what, on, **more):
        self.records.write(json.dumps({"t": time.time_ns(), "who": "rig", "what": what, "on": on, **more}) + "\n")

    def start(self):
        fleet = self.fleet
        self.nodes = self.standin(
            "nodes", listeners=fleet["nodes"], seed=self.seed, records=self.folder / "nodes.jsonl",
            start_ms=fleet.get("start_ms", 60), life_ms=fleet.get("life_ms", 2500), cores=self.cores,
            memory=self.cores * 1.6, cores_multiple=2.5, memory_multiple=1.5, tell_ms=FREE_EVERY_MS)
        ports = [int(p) for p in self.nodes.wait_for(lambda x: x.startswith("ports ")).split()[1:]]
        self.bulletin = self.standin("bulletin", listeners=fleet["managers"])
        list_ports = [int(p) for p in self.bulletin.wait_for(lambda x: x.startswith("port ")).split()[1:]]
        self.relay = self.standin("relay", seed=self.seed, records=self.folder / "relay.jsonl")
        self.port = int(self.relay.wait_for(lambda x: x.startswith("port ")).split()[1])
        self.pairs = set()
        for m in range(fleet["managers"]):
            for n, port in enumerate(ports):
                self.pair(f"m{m}>n{n}", f"127.1.{m}.{n}", f"127.0.0.1:{port}")
            self.pair(f"m{m}>list", f"127.3.{m}.1", f"127.0.0.1:{list_ports[m]}")
            for o in range(fleet["owners"]):
                self.pair(f"o{o}>m{m}", f"127.2.{o}.{m}", "127.0.0.1:1")
                self.relay.say(f"down o{o}>m{m}")
        self.uids = [f"s-{n + 1:08x}" for n in range(fleet["nodes"])]
        self.lives = [0] * fleet["nodes"]
        self.states = ["in_service"] * fleet["nodes"]
        self.boots = [0] * fleet["nodes"]
        self.sync()
        for m in range(fleet["managers"]):
            self.launch(m)
        for m in range(fleet["managers"]):
            self.open(m)
        self.front = self.standin(
            "front", owners=fleet["owners"], managers=fleet["managers"], port=self.port, rate=fleet["rate"],
            seconds=fleet["seconds"], seed=self.seed, records=self.folder / "owners.jsonl",
            services=fleet.get("services", 60), cores=fleet.get("task_cores", 0.6),
            settlements=fleet.get("settlements", 2), takeover_ms=fleet.get("takeover_ms", 2000))
        time.sleep(1.2)  # tests are passed, the first round of probes is out

    def pair(self, name, listen, target):
        self.pairs.add(name)
        self.relay.say(f"pair {name} {listen} {target}")

    def sync(self):
        self.relay.say("sync")
        self.relay.wait_for(lambda x: x == "synced")

    def launch(self, m):
        entries = [self.entry(n, m) for n in range(self.fleet["nodes"]) if self.states[n] != "terminated"]
        config = {"name": f"n{m}", "listen": "127.0.0.1:0", "seed": f"{0x8c1f30d27a5be964 + m:016x}",
                  "limits": {"sockets": 1024}, "bulletin": f"127.3.{m}.1:{self.port}",
                  "settings": dict(self.settings, Ordinal=m),
                  "known": {"no": self.number, "items": [rig.event(self.number, entries, True)]}}
        path = self.folder / f"m{m}.json"
        path.write_text(json.dumps(config))
        made = self.child([self.program, *self.arguments], stream="stderr",
                          env=dict(os.environ, ROUTER_CONFIG=str(path)))
        self.managers[m] = made

    def open(self, m):
        port = int(self.managers[m].wait_for(lambda x: "listens on" in x).rsplit(":", 1)[1])
        for o in range(self.fleet["owners"]):
            self.relay.say(f"target o{o}>m{m} 127.0.0.1:{port}")
            self.relay.say(f"up o{o}>m{m}")

    # --- The list ---
    def entry(self, n, m="@"):
        hall = self.settings["Zones"][n % self.fleet["halls"]]
        free = self.heard_free.get(n, (self.cores, self.cores * 1.6))
        return {"uid": self.uids[n], "endpoint": f"127.1.{m}.{n}:{self.port}", "az": hall, "model": "std-48",
                "pod_group": n // self.fleet["halls"] % 4, "state": self.states[n], "capacity_hint": 1,
                "boot_ms": self.boots[n], "unasked": [round(max(0, x), 3) for x in free]}

    def tell(self, numbers, entries=None):
        self.number += 1
        entries = entries or [self.entry(n) for n in numbers]
        self.bulletin.say(f"{self.number} " + json.dumps(rig.event(self.number, entries), separators=(",", ":")))

    def list_says(self, n, state):
        self.states[n] = state
        self.records.write(json.dumps({"t": time.time_ns(), "who": "list", "what": "told", "uid": self.uids[n],
                                       "node": f"n{n}", "state": state}) + "\n")

    # --- Faults ---
    def after(self, ms, what, *arguments):
        self.timed.append((time.monotonic() + ms / 1000, what, arguments))

    def fault(self, on, kind):
        for each in on:
            self.note("fault", each, kind=kind)

    def healed(self, on, kind):
        for each in on:
            self.note("healed", each, kind=kind)

    def between(self, fault):
        """Pairs in the direction of their dials, each with whether the fault's "there" is the dial's direction."""
        for a in fault["from"]:
            for b in fault["to"]:
                for name, same in ((f"{a}>{b}", True), (f"{b}>{a}", False)):
                    if name in self.pairs:
                        yield name, same

    def order(self, names, text):
        for name in names:
            self.relay.say(text.replace("@", name))

    def do(self, fault):
        what = fault["do"]
        getattr(self, "do_" + what)(fault)

    def do_cut(self, fault):
        names = []
        for name, same in self.between(fault):
            way = fault.get("way", "both")
            if not same and way != "both":
                way = {"there": "back", "back": "there"}[way]
            self.relay.say(f"cut {name} {way}")
            names.append(name)
        self.fault(names, "cut")
        if "for_ms" in fault:
            self.after(fault["for_ms"], self.heal, names, "cut")

    def heal(self, names, kind):
        self.order(names, "heal @" if kind == "cut" else "slow @ 0 0")
        self.healed(names, kind)

    def do_slow(self, fault):
        names = [name for name, _ in self.between(fault)]
        self.order(names, f"slow @ {fault['delay_ms']:.0f} {fault.get('jitter_ms', 0):.0f}")
        self.fault(names, "slow")
        self.after(fault["for_ms"], self.heal, names, "slow")

    def do_reset(self, fault, how="reset"):
        names = [name for name, _ in self.between(fault)]
        self.fault(names, how)
        self.order(names, how + " @")
        self.after(100 if how == "reset" else 1000, self.healed, names, how)

    def do_half(self, fault):
        self.do_reset(fault, "half")

    def ways_to(self, m):
        return [f"o{o}>m{m}" for o in range(self.fleet["owners"])]

    def do_kill(self, fault):
        for name in fault["on"]:
            m = int(name[1:])
            self.fault([name], "kill")
            self.order(self.ways_to(m), "down @")
            self.managers[m].end(signal.SIGKILL)
            if "for_ms" in fault:
                self.after(fault["for_ms"], self.relaunch, m)

    def relaunch(self, m):
        self.launch(m)
        self.open(m)
        self.front.say(f"fresh {m}")
        self.after(300, self.healed, [f"m{m}"], "kill")

    def do_stop(self, fault):
        for name in fault["on"]:
            self.fault([name], "stop")
            self.managers[int(name[1:])].process.send_signal(signal.SIGSTOP)
            self.after(fault["for_ms"], self.go_on, name)

    def go_on(self, name):
        self.managers[int(name[1:])].process.send_signal(signal.SIGCONT)
        self.after(300, self.healed, [name], "stop")

    def do_restart(self, fault):
        for name in fault["on"]:
            m = int(name[1:])
            self.managers[m].process.send_signal(signal.SIGTERM)
            self.after(300, self.front.say, f"leave {m}")
            self.after(700, self.fault, [name], "restart")
            self.after(100, self.ended, m, fault.get("for_ms", 500), time.monotonic() + 8)

    def ended(self, m, pause, until):
        process = self.managers[m].process
        if process.poll() is None and time.monotonic() < until:
            self.after(50, self.ended, m, pause, until)
            return
        if process.poll() != 0:
            self.note("fault", f"m{m}", kind=f"exit {process.poll()}")
            self.bad.append(f"m{m} did not end in order after SIGTERM: {process.poll()}")
            self.managers[m].end(signal.SIGKILL)
        self.order(self.ways_to(m), "down @")
        self.after(pause, self.relaunch, m)

    def do_die(self, fault):
        for name in fault["on"]:
            n = int(name[1:])
            if self.boots[n] < 0:
                continue
            self.boots[n] = -1
            self.order([f"m{m}>n{n}" for m in range(len(self.managers))], "down @")
            self.nodes.say(f"die {n}")
            if fault.get("listed", True):
                self.after(1000, self.list_gone, n, self.uids[n])
            if "for_ms" in fault:
                self.after(fault["for_ms"], self.boot, n)

    def list_gone(self, n, uid):
        if self.uids[n] == uid and self.boots[n] < 0:
            self.list_says(n, "terminated")
            self.tell([n])

    def boot(self, n):
        old = dict(self.entry(n), state="terminated", boot_ms=0)
        self.lives[n] += 1
        self.uids[n] = f"s-{n + 1 + 0x1000 * self.lives[n]:08x}"
        self.boots[n] = int(time.time() * 1000)
        self.heard_free.pop(n, None)
        self.nodes.say(f"boot {n}")
        self.order([f"m{m}>n{n}" for m in range(len(self.managers))], "up @")
        self.list_says(n, "in_service")
        self.tell([n], [old, self.entry(n)])

    def do_pace(self, fault):
        for name in fault["on"]:
            self.nodes.say(f"pace {name[1:]} {fault['share']}")
            if "for_ms" in fault:
                self.after(fault["for_ms"], self.nodes.say, f"pace {name[1:]} 1")

    def do_drain(self, fault):
        for name in fault["on"]:
            n = int(name[1:])
            self.list_says(n, "terminating")
            self.tell([n])
            self.after(fault.get("for_ms", 5000), self.do_die, {"on": [name], "for_ms": 1500})

    def do_gone(self, fault):
        for name in fault["on"]:
            self.list_says(int(name[1:]), "terminated")
            self.tell([int(name[1:])])
            if "for_ms" in fault:
                self.after(fault["for_ms"], self.back, int(name[1:]))

    def back(self, n):
        self.list_says(n, "in_service")
        self.tell([n])

    def do_list_lag(self, fault):
        self.bulletin.say(f"lag {fault['delay_ms']:.0f}")
        self.fault(["list"], "lag")
        self.after(fault["for_ms"], self.list_good)

    def do_list_silent(self, fault):
        self.bulletin.say("lag 0 silent")
        self.fault(["list"], "silent")
        self.after(fault["for_ms"], self.list_good)

    def list_good(self):
        self.bulletin.say("lag 0")
        self.healed(["list"], "list")

    # --- The play ---
    def lines(self, child):
        with child.new:
            out = list(child.lines)
            child.lines.clear()
        return out

    def hear(self):
        for line in self.lines(self.nodes):
            if line.startswith("free "):
                figures = [float(x) for x in line.split()[1:]]
                free = {n: (figures[2 * n], figures[2 * n + 1]) for n in range(len(figures) // 2)}
                moved = [n for n in free if free[n] != self.heard_free.get(n) and self.boots[n] >= 0 and
                         self.states[n] != "terminated"]
                self.heard_free.update({n: free[n] for n in moved})
                if moved:
                    self.tell(moved)
            elif line.startswith("seen "):
                self.seen[line[5:]] = True
        for line in self.lines(self.front):
            if line.startswith("seen "):
                self.seen[line[5:]] = True
            elif line == "asked":
                self.asked = True
        for child in self.managers:
            with child.new:
                self.logs += list(child.lines)
                child.lines.clear()

    def play(self):
        self.bad, self.asked = [], False
        self.start()
        self.front.say("begin")
        begun = time.monotonic()
        waiting = []
        for fault in self.plan["faults"]:
            if "when" in fault:
                waiting.append(fault)
                for child in (self.nodes, self.front):
                    child.say(f"tell {fault['when']['seen']} {fault['when']['count']}")
            else:
                self.timed.append((begun + fault["at_ms"] / 1000, self.do, (fault,)))
        limit = begun + self.fleet["seconds"] + 90
        tail = None
        done = 0
        while time.monotonic() < limit:
            self.hear()
            for fault in [f for f in waiting if self.seen.get(f["when"]["seen"])]:
                waiting.remove(fault)
                self.do(fault)
                done += 1
            now = time.monotonic()
            for each in sorted([t for t in self.timed if t[0] <= now], key=lambda t: t[0]):
                self.timed.remove(each)
                each[1](*each[2])
            for m, child in enumerate(self.managers):
                if child.process.poll() not in (None, 0, -signal.SIGKILL):
                    raise SystemExit(f"trial: m{m} ended with {child.process.poll()}: {list(child.lines)[-3:]}")
            if self.asked and not self.timed and tail is None:
                tail = now + self.fleet.get("tail_s", 10)
            if tail is not None and now >= tail and not self.timed:
                break
            time.sleep(0.01)
        else:
            self.bad.append("the trial did not come to its end in time")
        if waiting:
            self.bad.append(f"{len(waiting)} faults never came: their events were not seen")
        self.note("end", "trial")
        return self.bad

    def end(self):
        self.records.close()
        for each in reversed(self.children):
            each.end()
        (self.folder / "managers.log").write_text("\n".join(self.logs) + "\n")


def tool(build, *words):
    done = subprocess.run([str(pathlib.Path(build) / "bench/faults/faults"), *map(str, words)], capture_output=True,
                          text=True)
    return done.returncode, done.stdout, done.stderr


def plan_of(build, scenario, seed):
    code, out, err = tool(build, "plan", scenario, "--schema", HERE / "scenario.schema.json", "--seed", seed)
    if code:
        raise SystemExit(err.strip())
    return json.loads(out)


def one(build, program, scenario, seed, slack_ms, keep=None, change=None, arguments=()):
    """Plays a scenario under a seed and returns the judge's verdict, with `bad` for what the rig itself found."""
    plan = plan_of(build, scenario, seed)
    if change:
        change(plan)
    with tempfile.TemporaryDirectory(prefix="willowrail-faults-") as folder:
        if keep:
            folder = pathlib.Path(keep) / f"{plan['name']}-{seed}"
            folder.mkdir(parents=True, exist_ok=True)
            for old in folder.glob("*.jsonl"):
                old.unlink()
        trial = Trial(build, program, plan, folder, arguments=arguments)
        try:
            bad = trial.play()
        finally:
            trial.end()
        code, out, err = tool(build, "judge", folder, "--json", "--slack-ms", slack_ms)
        if code > 1 or not out:
            raise SystemExit(f"trial: the judge could not work: {err.strip()}")
    verdict = json.loads(out)
    verdict["bad"] = bad
    return verdict


def line(name, seed, verdict):
    words = []
    for kind, t in verdict["classes"].items():
        words.append(f"{kind} {t['served']}/{t['asked']}" + "".join(
            f" {key} {t[key]}" for key in ("refused", "failed", "lost", "excused") if t[key]))
    return f"{name:24} {seed:>5}  " + "; ".join(words) + f"; {verdict['attempts']} attempts, " \
        f"{verdict['handed_over']} handed over"


def cmd_run(a):
    program = a.program or pathlib.Path(a.build) / "willowrail"
    scenarios = [pathlib.Path(s) if pathlib.Path(s).exists() else SCENARIOS / f"{s}.json" for s in a.scenarios]
    if not scenarios:
        scenarios = sorted(SCENARIOS.glob("*.json"))
    seeds = [a.seed] if a.seed is not None else list(range(1, a.seeds + 1))
    failed = 0
    with concurrent.futures.ThreadPoolExecutor(a.jobs) as pool:
        arguments = ["serve", "--sites", a.sites] if a.sites else []
        plays = [(s, seed, pool.submit(one, a.build, program, s, seed, a.slack_ms, a.keep, None, arguments))
                 for seed in seeds for s in scenarios]
        for scenario, seed, play in plays:
            verdict = play.result()
            print(line(scenario.stem, seed, verdict), flush=True)
            wrong = [f"BROKEN {b['rule']}: {b['about']}" for b in verdict["breaches"]] + verdict["bad"]
            for text in wrong[:8]:
                print(f"    {text}")
            for breach in verdict["breaches"][:1]:
                for record in breach["witness"]:
                    print(f"        {json.dumps(record)}")
            if wrong:
                failed += 1
                print(f"    again: python3 bench/faults/trial.py run {scenario.stem} --seed {seed} --keep .")
            sys.stdout.flush()
    print(f"faults: {len(plays)} plays, {failed} with a rule broken")
    return 1 if failed else 0


def cmd_list(_):
    for path in sorted(SCENARIOS.glob("*.json")):
        print(f"{path.stem:24} {json.loads(path.read_text())['about']}")
    return 0


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--build", default=str(ROOT / "build-bench"), help="folder of the build with WILLOWRAIL_BENCH")
    commands = parser.add_subparsers(dest="command", required=True)
    run = commands.add_parser("run")
    run.add_argument("scenarios", nargs="*", help="names under bench/faults/scenarios, or files; all where none is named")
    run.add_argument("--seeds", type=int, default=1)
    run.add_argument("--seed", type=int)
    run.add_argument("--jobs", type=int, default=2)
    run.add_argument("--program")
    run.add_argument("--sites", help="the plan for lost sites that the cluster managers follow")
    run.add_argument("--slack-ms", type=float, default=250, help="on top of the protocol's 50 ms: the machine is busy")
    run.add_argument("--keep", help="keep the records in a folder here")
    commands.add_parser("list")
    a = parser.parse_args()
    return {"run": cmd_run, "list": cmd_list}[a.command](a)


if __name__ == "__main__":
    sys.exit(main())
