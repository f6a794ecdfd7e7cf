"""The processes of a trial with faults: stand-ins, several real cluster managers, and a relay between every two.

bench/faults/injector.py breaks what is here, bench/faults/play.py drives both by a plan.
"""
import json
import os
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import processes  # noqa: E402
import standin_site  # noqa: E402

FREE_EVERY_MS = 500


class Fleet:
    """The processes of one play. Names: m0 (cluster manager), n0 (node), o0 (client), list; pairs as "m0>n3"."""

    def __init__(self, build, program, plan, folder, settings=None, arguments=()):
        self.build = pathlib.Path(build)
        self.program = pathlib.Path(program)
        self.plan = plan
        self.folder = pathlib.Path(folder)
        self.fleet = fleet = plan["fleet"]
        self.children = []
        self.timed = []
        self.arguments = list(arguments)
        self.managers = [None] * fleet["managers"]
        self.manager_ports = [0] * fleet["managers"]
        self.logs = []
        self.records = open(self.folder / "rig.jsonl", "w")
        self.seed = plan["seed"]
        self.cores = fleet.get("node_cores", 8)
        self.settings = settings or self.usual_settings()
        self.number = 1
        self.heard_free = {}
        self.seen = {}

    def usual_settings(self):
        out = standin_site.settings()
        halls = ["hall-" + chr(ord("a") + i) for i in range(self.fleet["halls"])]
        out["Zones"] = halls
        out["GroupSize"] = self.fleet["managers"]
        for service in out["Services"]:
            service["Group"] = self.fleet.get("group", "all")
        out["FamilyInfo"]["CoresByKind"] = [self.cores]
        out["FamilyInfo"]["MemoryByKind"] = [self.cores * 1.6]
        return out

    def child(self, *arguments, **more):
        made = processes.Child(*arguments, **more)
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
            "nodes",
            listeners=fleet["nodes"],
            seed=self.seed,
            records=self.folder / "nodes.jsonl",
            start_ms=fleet.get("start_ms", 60),
            life_ms=fleet.get("life_ms", 2500),
            cores=self.cores,
            memory=self.cores * 1.6,
            cores_multiple=2.5,
            memory_multiple=1.5,
            tell_ms=FREE_EVERY_MS,
            first_errors=fleet.get("first_errors", 0),
        )
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
        self.halls = [n % fleet["halls"] for n in range(fleet["nodes"])]
        self.cells = [n // fleet["halls"] % 4 for n in range(fleet["nodes"])]
        self.note("group", "card-worker", domain=fleet.get("group", "all"))
        for n in range(fleet["nodes"]):
            self.place(n, self.uids[n])
        self.sync()
        for m in range(fleet["managers"]):
            self.launch(m)
        for m in range(fleet["managers"]):
            self.open(m)
        self.front = self.standin(
            "front",
            owners=fleet["owners"],
            managers=fleet["managers"],
            port=self.port,
            rate=fleet["rate"],
            seconds=fleet["seconds"],
            seed=self.seed,
            records=self.folder / "owners.jsonl",
            services=fleet.get("services", 60),
            cores=fleet.get("task_cores", 0.6),
            settlements=fleet.get("settlements", 2),
            takeover_ms=fleet.get("takeover_ms", 2000),
        )
        time.sleep(1.2)  # tests are passed, the first round of probes is out

    def place(self, n, uid):
        """Where the node of that uid stands, for the judge."""
        self.note("place", uid, zone=self.zone(n), cell=self.cells[n])

    def zone(self, n):
        return self.settings["Zones"][self.halls[n]]

    def pair(self, name, listen, target):
        self.pairs.add(name)
        self.relay.say(f"pair {name} {listen} {target}")

    def sync(self):
        self.relay.say("sync")
        self.relay.wait_for(lambda x: x == "synced")

    def launch(self, m):
        entries = [self.entry(n, m) for n in range(self.fleet["nodes"]) if self.states[n] != "terminated"]
        config = {
            "name": f"n{m}",
            "listen": "127.0.0.1:0",
            "seed": f"{0x8c1f30d27a5be964 + m:016x}",
            "limits": {"sockets": self.fleet.get("sockets", 1024)},
            "bulletin": f"127.3.{m}.1:{self.port}",
            "settings": dict(self.settings, Ordinal=m),
            "known": {"no": self.number, "items": [standin_site.event(self.number, entries, True)]},
        }
        path = self.config_path(m)
        path.write_text(json.dumps(config))
        made = self.child(
            [self.program, *self.arguments], stream="stderr", env=dict(os.environ, ROUTER_CONFIG=str(path))
        )
        self.managers[m] = made

    def config_path(self, m):
        return self.folder / f"m{m}.json"

    def open(self, m):
        port = int(self.managers[m].wait_for(lambda x: "listens on" in x).rsplit(":", 1)[1])
        self.manager_ports[m] = port
        for o in range(self.fleet["owners"]):
            self.relay.say(f"target o{o}>m{m} 127.0.0.1:{port}")
            self.relay.say(f"up o{o}>m{m}")

    # --- The list ---
    def entry(self, n, m="@"):
        free = self.heard_free.get(n, (self.cores, self.cores * 1.6))
        return {
            "uid": self.uids[n],
            "endpoint": f"127.1.{m}.{n}:{self.port}",
            "az": self.zone(n),
            "model": "std-48",
            "pod_group": self.cells[n],
            "state": self.states[n],
            "capacity_hint": 1,
            "boot_ms": self.boots[n],
            "unasked": [round(max(0, x), 3) for x in free],
        }

    def tell(self, numbers, entries=None):
        self.number += 1
        entries = entries or [self.entry(n) for n in numbers]
        self.bulletin.say(
            f"{self.number} " + json.dumps(standin_site.event(self.number, entries), separators=(",", ":"))
        )

    def list_says(self, n, state):
        self.states[n] = state
        self.records.write(
            json.dumps(
                {
                    "t": time.time_ns(),
                    "who": "list",
                    "what": "told",
                    "uid": self.uids[n],
                    "node": f"n{n}",
                    "state": state,
                }
            )
            + "\n"
        )
