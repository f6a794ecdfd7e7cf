"""The faults of a plan, each a method do_NAME that is given the fault as the plan has it."""
import signal
import time

from fleet import Fleet

# What a list that broke off would have told counts as told so long after it did; milliseconds.
LIST_TOLD_MS = 4000
# From the end of a stream to the call that follows, with its backoff; milliseconds.
LIST_CALL_MS = 1000


class FaultInjector(Fleet):
    """A fleet that faults are played on. What ends later is put on `timed`; the records say when each came and went."""

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
        old, uid, boot_ms = self.listen_again(n)
        self.list_boot(n, old, uid, boot_ms)

    def listen_again(self, n):
        """Another process listens at the address; returns what the list is to say of it."""
        old = dict(self.entry(n), state="terminated", boot_ms=0)
        self.lives[n] += 1
        uid = f"s-{n + 1 + 0x1000 * self.lives[n]:08x}"
        self.place(n, uid)
        self.nodes.say(f"boot {n}")
        self.order([f"m{m}>n{n}" for m in range(len(self.managers))], "up @")
        return old, uid, int(time.time() * 1000)

    def list_boot(self, n, old, uid, boot_ms):
        self.uids[n] = uid
        self.boots[n] = boot_ms
        self.heard_free.pop(n, None)
        self.list_says(n, "in_service")
        self.tell([n], [old, self.entry(n)])

    def do_replace(self, fault):
        """A node's process dies; for_ms later one of another hall and cell listens there, told delay_ms after that."""
        for name in fault["on"]:
            n = int(name[1:])
            if self.boots[n] < 0:
                continue
            self.boots[n] = -1
            self.order([f"m{m}>n{n}" for m in range(len(self.managers))], "down @")
            self.nodes.say(f"die {n}")
            self.after(fault["for_ms"], self.replaced, n, fault["delay_ms"])

    def replaced(self, n, told_after_ms):
        old_hall, old_cell = self.halls[n], self.cells[n]
        self.halls[n] = (old_hall + 1) % self.fleet["halls"]
        self.cells[n] = (old_cell + 1) % 4
        old, uid, boot_ms = self.listen_again(n)
        old.update(az=self.settings["Zones"][old_hall], pod_group=old_cell)
        self.after(told_after_ms, self.list_boot, n, old, uid, boot_ms)

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

    def do_list_slow(self, fault):
        """All streams end, and for for_ms calls are answered late: a jitter a call, and a late body or a queue."""
        pace = [fault.get(key, 0) for key in ("delay_ms", "jitter_ms", "body_ms", "per_call_ms")]
        self.bulletin.say("answer " + " ".join(f"{ms:.0f}" for ms in pace))
        self.bulletin.say("end")
        self.fault(["list"], "slow")
        # The first call is answered by then; what is told from then on is due in time, however slow later calls are.
        queue_ms = pace[3] * len(self.managers)
        self.after(max(LIST_TOLD_MS, sum(pace[:3]) + queue_ms + LIST_CALL_MS), self.healed, ["list"], "list")
        self.after(fault["for_ms"], self.bulletin.say, "answer 0 0 0 0")

    def list_good(self):
        self.bulletin.say("lag 0")
        self.healed(["list"], "list")
