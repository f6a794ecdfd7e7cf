"""Draws a soak: a fleet and a series of shutdowns, signals, crowds and broken nodes, all of it from one seed."""
import random

# A planned restart takes this long at most, from SIGTERM to a process that serves again; seconds.
RESTART_S = 8.0
FIRST_EVENT_S = 2.0
# Nothing new begins so shortly before the load ends, so that its effects are seen; seconds.
LAST_EVENT_S = 2.0
# Which nodes discard repeats of a keyed request.
GROUPS = ("all", "zone", "cell")
RELOADS = ("hup-same", "hup-other", "hup-broken")


class Draw:
    """One soak under construction. `free_at` holds back a cluster manager while something happens to it."""

    def __init__(self, seed, length_s):
        self.random = random.Random(seed)
        self.length_s = length_s
        self.fleet = {
            "managers": self.random.randint(3, 5),
            "halls": self.random.randint(2, 3),
            "nodes": self.random.randint(12, 24),
            "owners": self.random.randint(2, 4),
            "rate": self.random.choice((40, 70, 110)),
            "seconds": length_s,
            "sockets": self.random.choice((160, 256, 1024)),
            "settlements": 3,
            # With slow starts some request is always open, so that a shutdown finds no quiet moment.
            "start_ms": self.random.choice((60, 200, 600)),
            "life_ms": self.random.choice((800, 2500)),
            # Three seeds in a row play each; the other draws of a seed do not depend on it.
            "group": GROUPS[seed % len(GROUPS)],
        }
        self.faults = []
        self.free_at = [0.0] * self.fleet["managers"]

    def managers(self, now, most):
        """Up to `most` cluster managers that nothing happens to now, and never all of them."""
        free = [m for m, at in enumerate(self.free_at) if at <= now]
        busy = len(self.free_at) - len(free)
        self.random.shuffle(free)
        return free[: max(0, min(most, len(self.free_at) - 1 - busy))]

    def add(self, now, what, **more):
        self.faults.append({"do": what, "at_ms": round(now * 1000), **more})

    def hold(self, managers, until):
        for m in managers:
            self.free_at[m] = until

    def reloads(self):
        """SIGHUPs of any kind, close together or in one iteration of the loop: delays in milliseconds."""
        gap = self.random.choice((0, 0, 5, 50))
        return [[i * gap, self.random.choice(RELOADS)] for i in range(self.random.randint(1, 5))]

    def series(self):
        """Signals after the first SIGTERM: more of it, reloads, statistics, at any moment of the shutdown."""
        out = []
        for _ in range(self.random.randint(0, 4)):
            kind = self.random.choice(("term", "usr1", *RELOADS))
            out.append([self.random.choice((0, 1, 20, 50, 400, 800, 1500, 3000)), kind])
        return sorted(out)

    def terminate(self, now):
        managers = self.managers(now, self.random.choice((1, 1, 2, 3)))
        apart_s = self.random.choice((0, 0, 1.5))
        for i, m in enumerate(managers):
            at = now + i * apart_s
            before = self.reloads() if self.random.random() < 0.3 else []
            if before:
                self.add(at, "signal", on=[f"m{m}"], series=before)
            self.add(
                at + self.random.choice((0, 0.05)) * bool(before),
                "terminate",
                on=[f"m{m}"],
                series=self.series(),
                startup=self.reloads() if self.random.random() < 0.3 else [],
                for_ms=self.random.choice((0, 200, 1000)),
            )
            self.hold([m], at + RESTART_S)

    def signal(self, now):
        for m in self.managers(now, 2):
            series = self.reloads()
            if self.random.random() < 0.5:
                series.append([series[-1][0], "usr1"])
            self.add(now, "signal", on=[f"m{m}"], series=series)

    def crowd(self, now):
        for m in self.managers(now, 1):
            self.add(
                now, "crowd", on=[f"m{m}"], count=self.random.choice((20, 80, 200)), half=self.random.random() < 0.5
            )

    def nodes(self, now):
        count = self.fleet["nodes"]
        some = [f"n{n}" for n in self.random.sample(range(count), max(1, count // 8))]
        managers = [f"m{m}" for m in range(self.fleet["managers"])]
        what = self.random.choice(("reset", "half", "die", "drain"))
        if what in ("reset", "half"):
            self.add(now, what, **{"from": managers, "to": some})
        elif what == "die":
            self.add(now, what, on=some[:2], for_ms=1500)
        else:
            self.add(now, what, on=some[:2], for_ms=2500)

    def clients(self, now):
        owners = [f"o{self.random.randrange(self.fleet['owners'])}"]
        self.add(now, "reset", **{"from": owners, "to": [f"m{m}" for m in self.managers(now, 2)]})

    def stop(self, now):
        for m in self.managers(now, 1):
            self.add(now, "stop", on=[f"m{m}"], for_ms=self.random.randint(200, 1200))
            self.hold([m], now + 2.5)


def slow_discovery(seed, length_s):
    """In two of three seeds discovery ends its streams and answers late for a while; drawn apart from all else."""
    drawn = random.Random(f"slow discovery {seed}")
    if seed % 3 == 1:
        return []
    kind = drawn.choice(("steady", "drawn", "late body", "queue"))
    slow = {
        "do": "list_slow",
        "at_ms": drawn.randint(500, 3000),
        "for_ms": round(1000 * length_s * drawn.uniform(0.3, 0.9)),
        "delay_ms": drawn.choice((1600, 1800, 2500, 4000)) if kind == "steady" else 0,
    }
    if kind == "drawn":
        slow["jitter_ms"] = drawn.choice((2000, 5000))
    if kind == "late body":
        slow["body_ms"] = drawn.choice((1200, 2000, 3500))
    if kind == "queue":
        slow["per_call_ms"] = drawn.choice((200, 600))
    return [slow]


def draw(seed, length_s):
    """The plan of a soak, as bench/faults/play.py takes it; equal seeds and lengths give equal plans."""
    soak = Draw(seed, length_s)
    kinds = (
        soak.terminate,
        soak.terminate,
        soak.terminate,
        soak.signal,
        soak.crowd,
        soak.nodes,
        soak.clients,
        soak.stop,
    )
    now = FIRST_EVENT_S
    while now < length_s - LAST_EVENT_S:
        soak.random.choice(kinds)(now)
        now += 0.5 + 2.5 * soak.random.random()
    soak.faults += slow_discovery(seed, length_s)
    soak.faults.sort(key=lambda fault: fault["at_ms"])
    return {"name": "soak", "seed": seed, "fleet": soak.fleet, "faults": soak.faults}
