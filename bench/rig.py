#!/usr/bin/env python3
"""Runs the real program among stand-ins on loopback and counts what a request costs.

  rig.py path  [--rows 12x160,100x160] [--check FILE] [--write FILE]   counts per request and per probe
  rig.py rate  [--nodes 12,100] [--most 8000]                          the highest rate served in time
  rig.py where [--nodes 12] [--rate 160]                               who allocates, by stack
  rig.py demo                                                          a small fleet, line by line

All processes are children of this one and end with it. Everything is seeded.
"""
import argparse
import collections
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
MS = 1_000_000
CORES, MEMORY = 40, 64
HALLS = ["hall-a", "hall-b", "hall-c"]


def settings():
    def service(name, effect, deadline_s, worth):
        return {"Name": name, "Effect": effect, "Deadline": deadline_s * 1000 * MS, "Group": "all",
                "KeyTtl": 6000 * MS, "Worth": worth, "Aim": 800 * MS}
    return {
        "Services": [service("web-api", "pure", 6, 1), service("card-worker", "token", 8, 5),
                     service("settlement", "side_effect", 10, 5)],
        "Tenants": [{"Name": "shop-a", "Portion": 0.53}, {"Name": "shop-b", "Portion": 0.47}],
        "FamilyInfo": {"CoresByKind": [CORES], "MemoryByKind": [MEMORY], "CoresMultiple": 2.5, "AdmitMemory": 1.5,
                       "View": True, "YesAt": "running", "MeanCores": 1.1, "MeanMemory": 1.9,
                       "ApartBy": ["none", "cell", "zone"], "ClassMost": [1, 3, 4], "ClassCalm": [1.0, 0.8, 0.8],
                       "FadesOver": [1.0, 0.15, 0.2], "NeedsKind": [-1, -1, -1], "ColdSends": 24,
                       "MeasuredBy": "used", "TenantQuotaCores": [1e6, 1e6]},
        "Allowed": {"Probing": True, "MostTries": 3, "RetryAfter": True, "MaxRetryAfter": 3000 * MS,
                    "DialTimeout": 250 * MS, "Keepalive": 15000 * MS},
        "Rules": {"AskWithin": 10000 * MS, "Cold": 15000 * MS, "ColdFrom": 0.2, "Fall": 1500 * MS,
                  "DrainGrace": 500 * MS},
        "Discovery": "subscribe", "GroupSize": 1, "Ordinal": 0, "Period": 2 * MS, "OverShareWorth": 0.2,
        "Zones": HALLS, "Kinds": ["std-48"]}


def target(i, port, state="in_service", free=None, boot_ms=0):
    cores, memory = free if free is not None else (CORES, MEMORY)
    return {"uid": f"s-{i + 1:08x}", "endpoint": f"127.0.0.1:{port}", "az": HALLS[i % 3], "model": "std-48",
            "pod_group": i % 5, "state": state, "capacity_hint": 1, "boot_ms": boot_ms, "unasked": [cores, memory]}


def event(number, targets, whole=False):
    return {"no": number, "roster": {"rev": number, "all": whole, "targets": targets}}


class Child:
    """A process whose lines are kept as they come."""

    def __init__(self, command, stream="stdout", env=None):
        pipes = {"stdin": subprocess.PIPE, stream: subprocess.PIPE}
        self.process = subprocess.Popen([str(c) for c in command], text=True, env=env, **pipes)
        self.lines = collections.deque()
        self.new = threading.Condition()
        self.ended = False
        self.source = getattr(self.process, stream)
        threading.Thread(target=self.read, daemon=True).start()

    def read(self):
        for line in self.source:
            with self.new:
                self.lines.append(line.rstrip("\n"))
                self.new.notify_all()
        with self.new:
            self.ended = True
            self.new.notify_all()

    def wait_for(self, wanted, seconds=30):
        """The first line from here on for which wanted(line) holds; lines before it are dropped."""
        until = time.monotonic() + seconds
        with self.new:
            while True:
                while self.lines:
                    line = self.lines.popleft()
                    if wanted(line):
                        return line
                left = until - time.monotonic()
                if self.ended or left <= 0:
                    raise SystemExit(f"rig: {self.process.args[:2]} said nothing of the kind in time")
                self.new.wait(left)

    def say(self, line):
        self.process.stdin.write(line + "\n")
        self.process.stdin.flush()

    def end(self, how=signal.SIGTERM):
        if self.process.poll() is None:
            self.process.send_signal(how)
            try:
                self.process.wait(5)
            except subprocess.TimeoutExpired:
                self.process.kill()
                self.process.wait()


class Site:
    """Stand-in nodes and bulletin, and the program beside them."""

    def __init__(self, build, nodes, program="willowrail", groups=1, listeners=1000, seed=1, sockets=16384,
                 start_ms=10, life_ms=2000, refuse=0.0, free=None):
        self.build = pathlib.Path(build)
        self.folder = tempfile.TemporaryDirectory(prefix="willowrail-rig-")
        self.children = []
        self.number = 1
        self.groups, ports = [], []
        for g in range(groups):
            count = nodes // groups + (1 if g < nodes % groups else 0)
            group = self.child([self.build / "bench/standin", "nodes", "--listeners", min(count, listeners), "--seed",
                                seed + g, "--start-ms", start_ms, "--life-ms", life_ms, "--refuse", refuse])
            its = [int(p) for p in group.wait_for(lambda line: line.startswith("ports ")).split()[1:]]
            ports += [its[i % len(its)] for i in range(count)]
            self.groups.append(group)
        self.ports = ports
        self.bulletin = self.child([self.build / "bench/standin", "bulletin"])
        port = int(self.bulletin.wait_for(lambda line: line.startswith("port ")).split()[1])
        config = {"name": "n0", "listen": "127.0.0.1:0", "seed": "8c1f30d27a5be964", "limits": {"sockets": sockets},
                  "bulletin": f"127.0.0.1:{port}", "settings": settings(),
                  "known": {"no": 1, "items": [event(1, [target(i, p, free=free) for i, p in enumerate(ports)], True)]}}
        path = pathlib.Path(self.folder.name) / "config.json"
        path.write_text(json.dumps(config))
        binary = self.build / ("bench/" + program if program != "willowrail" else program)
        self.binary = binary
        self.program = self.child([binary], "stderr", dict(os.environ, ROUTER_CONFIG=str(path)))
        self.port = int(self.program.wait_for(lambda line: "listens on" in line).rsplit(":", 1)[1])

    def child(self, *arguments):
        made = Child(*arguments)
        self.children.append(made)
        return made

    def tell(self, targets):
        self.number += 1
        self.bulletin.say(f"{self.number} " + json.dumps(event(self.number, targets), separators=(",", ":")))

    def owners(self, rate, seconds, connections=16, seed=7, loud=0, services=None, bytes_=200, wait_ms=6000):
        # About five tasks of a service at a time, as far as there are that many.
        services = services or max(8, int(rate * 2 / 5 / 3))
        return self.child([self.build / "bench/standin", "owners", "--port", self.port, "--rate", rate, "--seconds",
                           seconds, "--connections", connections, "--seed", seed, "--services", services, "--loud",
                           loud, "--bytes", bytes_, "--wait-ms", wait_ms])

    def snapshot(self):
        """Counters, calls and counts of the program, and its CPU time."""
        pid = self.program.process.pid
        cpu = int(pathlib.Path(f"/proc/{pid}/schedstat").read_text().split()[0])
        with self.program.new:
            self.program.lines.clear()
        self.program.process.send_signal(signal.SIGUSR1)
        figures, stacks = {"cpu_us": cpu / 1000}, {}

        def take(line):
            words = line.split()
            if words and words[0] in ("counter", "call", "count", "size") and len(words) == 3:
                figures[f"{words[0]}.{words[1]}"] = int(words[2])
            elif words and words[0] == "stack":
                stacks[tuple(words[3:])] = (int(words[1]), int(words[2]))
            return line.startswith("size deadlines")
        self.program.wait_for(take)
        return figures, stacks

    def end(self):
        for each in reversed(self.children):
            each.end()
        self.folder.cleanup()


class Sources:
    """Whose an address is: the folder under src/ of the first frame that lies there."""

    def __init__(self, binary):
        self.binary, self.known = binary, {}

    def look_up(self, addresses):
        fresh = sorted({a for a in addresses if a not in self.known})
        for start in range(0, len(fresh), 400):
            some = fresh[start:start + 400]
            # The address is that of the return: one byte before lies in the call.
            asked = [hex(int(a, 16) - 1) for a in some]
            out = subprocess.run(["addr2line", "-a", "-i", "-f", "-C", "-e", str(self.binary), *asked],
                                 capture_output=True, text=True, check=True).stdout
            blocks, block = [], None
            for line in out.splitlines():
                if line.startswith("0x"):
                    block = []
                    blocks.append(block)
                else:
                    block.append(line)
            for address, lines in zip(some, blocks):
                self.known[address] = list(zip(lines[0::2], lines[1::2]))

    def owner(self, stack):
        for address in stack:
            for function, place in self.known.get(address, []):
                parts = place.split("/src/")
                if len(parts) > 1 and place.startswith(str(ROOT)):
                    name = parts[-1].split("/")
                    return ("module" if name[0] == "decide" else name[0] if len(name) > 1 else "main",
                            function, parts[-1])
                if "/include/passbridge/" in place:
                    return ("module", function, place.rsplit("/", 1)[1])
        return ("library", "?", "?")


def difference(after, before):
    return {k: after[k] - before.get(k, 0) for k in after}


CALLS = ["recv", "send", "epoll_wait", "epoll_ctl", "connect", "socket", "accept", "close", "shutdown", "setsockopt",
         "getsockopt", "ioctl"]
ROOMS = sorted(p.name for p in (ROOT / "src").iterdir() if p.is_dir()) + ["module", "main", "library"]


def costs(figures, stacks, sources):
    sources.look_up({a for stack in stacks for a in stack})
    rooms = dict.fromkeys(ROOMS, 0)
    for stack, (count, _) in stacks.items():
        rooms[sources.owner(stack)[0]] += count
    result = {"allocations": figures.get("count.allocations", 0)}
    result.update({f"allocations.{room}": n for room, n in rooms.items()})
    result.update({f"call.{c}": figures.get(f"call.{c}", figures.get(f"count.{c}", 0)) for c in CALLS})
    result["calls"] = sum(result[f"call.{c}"] for c in CALLS)
    result["bytes_copied"] = sum(figures[f"counter.{c}"] for c in ("bytes_kept", "bytes_held", "bytes_written"))
    result["cpu_us"] = figures["cpu_us"]
    return result


def stack_difference(after, before):
    out = {}
    for stack, (count, size) in after.items():
        old = before.get(stack, (0, 0))
        if count > old[0]:
            out[stack] = (count - old[0], size - old[1])
    return out


def one_row(build, nodes, rate, program, warm=4, length=8, idle=4, life_ms=2000, verbose=False):
    site = Site(build, nodes, program, life_ms=life_ms)
    try:
        sources = Sources(site.binary)
        # One round of probes dials every node; what is counted comes after that, as far as one can wait for it.
        time.sleep(min(12, 2 + nodes / 10))
        a = site.snapshot()
        time.sleep(idle)
        b = site.snapshot()
        owners = site.owners(rate, warm + length + 1)
        time.sleep(warm + 0.1)
        c = site.snapshot()
        time.sleep(length)
        d = site.snapshot()
        books = json.loads(owners.wait_for(lambda line: line.startswith("{"), length + 30))
        quiet, loud = difference(b[0], a[0]), difference(d[0], c[0])
        background = costs(quiet, stack_difference(b[1], a[1]), sources)
        load = costs(loud, stack_difference(d[1], c[1]), sources)
        probes = max(1, quiet["counter.probes_sent"])
        requests = loud["counter.setups_taken"]
        row = {"nodes": nodes, "rate": rate, "requests": requests, "probes": loud["counter.probes_sent"],
               "books": books, "cpu_share": round(load["cpu_us"] / (length * 1e6), 4)}
        row["per_probe"] = {k: round(v / probes, 3) for k, v in background.items() if v}
        row["per_request"] = {
            k: round((v - background[k] / probes * loud["counter.probes_sent"]) / requests, 3)
            for k, v in load.items() if v}
        if verbose:
            stacks = stack_difference(d[1], c[1])
            row["stacks"] = sorted(((n, size, sources.owner(s), [sources.known.get(x, [["?", "?"]])[0][0][:70]
                                                                for x in s[:4]])
                                    for s, (n, size) in stacks.items()), reverse=True)
        return row
    finally:
        site.end()


def over_budget(name, row, limits, slack):
    """What of a row is more than a tenth over its budget, a line each. The slack is for counts that are near nothing."""
    out = []
    for kind in ("per_request", "per_probe"):
        for count, most in limits.get(kind, {}).items():
            now, allowed = row[kind].get(count, 0), most * 1.1 + slack.get(count, 0)
            if now > allowed:
                out.append(f"{name}: {kind} {count} is {now}, budget {most}, at most {allowed:.3f}")
    return out


def cmd_path(a):
    rows = [tuple(int(x) for x in row.split("x")) for row in a.rows.split(",")]
    budget = json.loads(pathlib.Path(a.check).read_text()) if a.check else {}
    bad, made = [], {}
    for nodes, rate in rows:
        row = one_row(a.build, nodes, rate, a.program, warm=a.warm, length=a.length)
        print(json.dumps(row), flush=True)
        made[f"{nodes}x{rate}"] = row
        books = row["books"]
        if books["doubled"] or books["unanswered"] or books["failed"]:
            bad.append(f"{nodes}x{rate}: the books do not close: {books}")
        limits = budget.get("rows", {}).get(f"{nodes}x{rate}")
        if a.check and limits is None:
            bad.append(f"{nodes}x{rate}: no such row in {a.check}")
        bad += over_budget(f"{nodes}x{rate}", row, limits or {}, budget.get("slack", {}))
    if a.write:
        judged = ["allocations", "bytes_copied", "call.recv", "call.send", "call.connect", "call.ioctl"]
        rows = {name: {kind: {c: row[kind].get(c, 0) for c in judged} for kind in ("per_request", "per_probe")}
                for name, row in made.items()}
        # So much is noise where a count is near nothing: no share of it says anything.
        slack = {"allocations": 0.3, "bytes_copied": 4, "call.recv": 0.1, "call.send": 0.1, "call.connect": 0.1,
                 "call.ioctl": 0.1}
        pathlib.Path(a.write).write_text(json.dumps({"slack": slack, "rows": rows}, indent=2) + "\n")
    for line in bad:
        print("over budget: " + line, file=sys.stderr)
    if a.check and not bad:
        print(f"path budget: {len(rows)} rows held")
    return 1 if bad else 0


def cmd_where(a):
    row = one_row(a.build, a.nodes, a.rate, "willowrail_counted", verbose=True)
    stacks = row.pop("stacks")
    print(json.dumps(row, indent=1))
    for count, size, owner, frames in stacks[:a.most]:
        print(f"{count / row['requests']:7.3f} {size / count:7.0f} B  {owner[0]:8} {owner[2]:28} {' < '.join(frames)}")
    return 0


def cmd_rate(a):
    """Doubles the rate until p99 of the program's own delay is over 5 ms, then halves the gap."""
    for nodes in [int(n) for n in a.nodes.split(",")]:
        def good(rate):
            # The life of tasks shrinks with the rate, so that the fleet is as full at each.
            life = max(50, min(2000, int(nodes * 25 / rate * 1000)))
            site = Site(a.build, nodes, life_ms=life, start_ms=5)
            try:
                time.sleep(2)
                # Many services, so that none waits for room under its spread rule.
                owners = site.owners(rate, 5, connections=32, services=max(200, nodes * 20))
                before = site.snapshot()
                books = json.loads(owners.wait_for(lambda line: line.startswith("{"), 40))
                after = site.snapshot()
            finally:
                site.end()
            share = (after[0]["cpu_us"] - before[0]["cpu_us"]) / 5e6
            held = (books["delay_us"]["p99"] < 5000 and books["unanswered"] == 0 and
                    books["served"] > 0.98 * books["asked"])
            print(json.dumps({"nodes": nodes, "rate": rate, "good": held, "cpu_share": round(share, 3),
                              "books": books}), flush=True)
            return held
        low, high = 0, a.least
        while high <= a.most and good(high):
            low, high = high, high * 2
        while high - low > max(20, low // 8):
            middle = (low + high) // 2
            if good(middle):
                low = middle
            else:
                high = middle
        print(json.dumps({"nodes": nodes, "highest_rate": low}), flush=True)
    return 0


def cmd_demo(a):
    begun = time.monotonic()

    def say(text):
        print(f"{time.monotonic() - begun:5.1f} s  {text}", flush=True)

    site = Site(a.build, 8, groups=8, life_ms=3000)
    try:
        say(f"willowrail listens on 127.0.0.1:{site.port}; 8 stand-in nodes in 3 halls, a bulletin")
        owners = site.owners(40, 10, connections=8, loud=1)
        say("owners ask for 40 tasks a second, over 8 connections, for 10 s")

        def held():
            for group in site.groups:
                with group.new:
                    group.lines.clear()
                if group.process.poll() is None:
                    group.say("tasks")
            return [int(g.wait_for(lambda line: line.startswith("tasks ")).split()[1])
                    if g.process.poll() is None else None for g in site.groups]

        drained = killed = None
        at_drain = 0
        for second in range(1, 11):
            line = owners.wait_for(lambda text: text.startswith("asked "), 10)
            tasks = held()
            say(f"{line}; tasks on nodes: {' '.join('gone' if t is None else str(t) for t in tasks)}")
            if second == 3:
                drained = 1
                at_drain = tasks[1]
                site.tell([target(1, site.ports[1], "terminating")])
                say(f"node s-00000002 drains: it keeps its {at_drain} tasks and gets no more")
            if second == 6:
                killed = 4
                site.groups[4].process.kill()
                site.groups[4].process.wait()
                say(f"node s-00000005 is killed with {tasks[4]} tasks on it: their owners hear of it")
            if second == 8:
                site.tell([target(4, site.ports[4], "terminated")])
                say("the list says that s-00000005 is gone")
        books = json.loads(owners.wait_for(lambda text: text.startswith("{"), 30))
        left = held()
        figures, _ = site.snapshot()
        say(f"all owners have their answers; the drained node holds {left[drained]} tasks (had {at_drain})")
        rows = [("asked", books["asked"]), ("served", books["served"]), ("refused", books["refused"]),
                ("failed", books["failed"]), ("without an answer", books["unanswered"]),
                ("answered twice", books["doubled"]), ("tasks lost with a node", figures["counter.tasks_lost"]),
                ("attempts sent", figures["counter.offers_sent"]), ("probes sent", figures["counter.probes_sent"]),
                ("own delay, median (us)", int(books["delay_us"]["p50"])),
                ("own delay, 99th percentile (us)", int(books["delay_us"]["p99"])),
                ("CPU time (ms)", int(figures["cpu_us"] / 1000))]
        print()
        for name, value in rows:
            print(f"  {name:34} {value:>8}")
        good = books["unanswered"] == 0 and books["doubled"] == 0 and books["served"] > 0.9 * books["asked"]
        print(f"\n{'every task came to one outcome' if good else 'THE BOOKS DO NOT CLOSE'}")
        return 0 if good and killed is not None else 1
    finally:
        site.end()


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--build", default=str(ROOT / "build-bench"), help="folder of the build with WILLOWRAIL_BENCH")
    commands = parser.add_subparsers(dest="command", required=True)
    path = commands.add_parser("path")
    path.add_argument("--rows", default="12x160,100x160")
    path.add_argument("--check")
    path.add_argument("--program", default="willowrail_counted",
                      help="willowrail: the release program itself, for its CPU time; allocations are not counted then")
    path.add_argument("--write")
    path.add_argument("--warm", type=float, default=4)
    path.add_argument("--length", type=float, default=8)
    where = commands.add_parser("where")
    where.add_argument("--nodes", type=int, default=12)
    where.add_argument("--rate", type=int, default=160)
    where.add_argument("--most", type=int, default=60)
    rate = commands.add_parser("rate")
    rate.add_argument("--nodes", default="12,100")
    rate.add_argument("--least", type=int, default=320)
    rate.add_argument("--most", type=int, default=40000)
    commands.add_parser("demo")
    a = parser.parse_args()
    return {"path": cmd_path, "where": cmd_where, "rate": cmd_rate, "demo": cmd_demo}[a.command](a)


if __name__ == "__main__":
    sys.exit(main())
