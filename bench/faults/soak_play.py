"""Plays a soak: shutdowns under clients that go on, signals in series, crowds; what the rig sees is checked here.

Bounds are the platform's: a process ends by itself, with status 0, before SIGKILL may come; nine of ten restarts are
ready in time; whoever connects and never sends a whole message gets a word or a close.
"""
import json
import pathlib
import select
import signal
import socket
import time

import play

# SIGKILL comes no earlier than the longest deadline, counted as 3 s where it is longer, and 0.7 s after SIGTERM.
KILL_AFTER_S = 3.7
READY_WITHIN_S = 10
READY_SHARE = 0.9
# A client that sends nothing whole is owed a word or a close this long after it connected.
WORD_WITHIN_S = 3.0
# The judge excuses what begins after a process has ended; its last words are on their way until then.
LAST_WORDS_MS = 100
POLL_MS = 20
SAMPLE_MS = 1000
# Growth is judged from the first third to the last, on processes that lived throughout, in runs of this length.
GROWTH_FROM_S = 60
GROWTH_FACTOR = 1.25
GROWTH_KB, GROWTH_DESCRIPTORS = 8192, 20
HEALTH_CHECK = bytes.fromhex("000d34" + "00000000feed0001" + "72000100")
CHECK_PASSED = bytes.fromhex("35" + "00000000feed0001" + "72000101")


def is_ready(port):
    """Whether a health check passes at that port now."""
    try:
        with socket.create_connection(("127.0.0.1", port), timeout=0.2) as client:
            client.sendall(HEALTH_CHECK)
            return CHECK_PASSED in client.recv(64)
    except OSError:
        return False


def resources(pid):
    """Resident kilobytes and descriptors of a process; None where it has ended."""
    try:
        status = pathlib.Path(f"/proc/{pid}/status").read_text()
        kilobytes = int(status.split("VmRSS:")[1].split()[0])
        return kilobytes, len(list(pathlib.Path(f"/proc/{pid}/fd").iterdir()))
    except (OSError, IndexError):
        return None


class SoakTrial(play.Trial):
    """A trial with the faults of soak_plan.py beside the others."""

    def __init__(self, *arguments, **more):
        super().__init__(*arguments, **more)
        self.restarts, self.ready = 0, 0
        self.samples = {}
        self.crowds = []
        self.sample_again = True

    def start(self):
        super().start()
        self.begun = time.monotonic()
        self.sample()

    # --- Signals ---
    def do_signal(self, fault):
        for name in fault["on"]:
            for delay_ms, kind in fault["series"]:
                self.after(delay_ms, self.send, int(name[1:]), kind, self.managers[int(name[1:])])

    def send(self, m, kind, child):
        if child is not self.managers[m] or child.process.poll() is not None:
            return
        if kind.startswith("hup"):
            self.write_config(m, kind)
        number = {"term": signal.SIGTERM, "usr1": signal.SIGUSR1}.get(kind, signal.SIGHUP)
        child.process.send_signal(number)

    def write_config(self, m, kind):
        """The file that a SIGHUP finds: as it is, with other limits, or cut in the middle."""
        path = self.config_path(m)
        good = self.good_configs[m]
        if kind == "hup-other":
            config = json.loads(good)
            config["settings"]["Allowed"].update(DialTimeout=300_000_000, Keepalive=12_000_000_000)
            path.write_text(json.dumps(config))
        else:
            path.write_text(good if kind == "hup-same" else good[: len(good) // 2])

    def launch(self, m):
        super().launch(m)
        if not hasattr(self, "good_configs"):
            self.good_configs = {}
        self.good_configs[m] = self.config_path(m).read_text()

    # --- Planned restarts; clients use their open connections until the process has ended ---
    def do_terminate(self, fault):
        for name in fault["on"]:
            m = int(name[1:])
            child = self.managers[m]
            child.process.send_signal(signal.SIGTERM)
            begun = time.monotonic()
            for delay_ms, kind in fault["series"]:
                self.after(delay_ms, self.send, m, kind, child)
            self.after(POLL_MS, self.await_exit, m, child, begun, fault)

    def await_exit(self, m, child, begun, fault):
        status = child.process.poll()
        if status is None and time.monotonic() - begun < KILL_AFTER_S:
            self.after(POLL_MS, self.await_exit, m, child, begun, fault)
            return
        if status is None:
            self.bad.append(f"m{m} had not ended {KILL_AFTER_S} s after SIGTERM")
            child.process.kill()
            child.process.wait()
        elif status != 0:
            self.bad.append(f"m{m} ended with {status} after SIGTERM")
        self.order(self.ways_to(m), "down @")
        self.after(LAST_WORDS_MS, self.fault, [f"m{m}"], "restart")
        self.after(LAST_WORDS_MS + fault["for_ms"], self.restart, m, fault["startup"])

    def restart(self, m, startup):
        self.restarts += 1
        begun = time.monotonic()
        self.relaunch(m)
        for delay_ms, kind in startup:
            self.after(delay_ms, self.send, m, kind, self.managers[m])
        self.await_ready(m, begun)

    def await_ready(self, m, begun):
        if is_ready(self.manager_ports[m]):
            self.ready += 1
        elif time.monotonic() - begun < READY_WITHIN_S:
            self.after(100, self.await_ready, m, begun)

    # --- Crowds ---
    def do_crowd(self, fault):
        for name in fault["on"]:
            crowd = []
            for _ in range(fault["count"]):
                try:
                    client = socket.create_connection(("127.0.0.1", self.manager_ports[int(name[1:])]), timeout=0.2)
                except OSError:
                    continue  # its accept queue is full, or it ends
                if fault["half"]:
                    client.sendall(HEALTH_CHECK[:6])
                crowd.append(client)
            self.crowds += crowd
            self.after(WORD_WITHIN_S * 1000 + self.slack_ms, self.check_crowd, name, crowd)

    def check_crowd(self, name, crowd):
        told = set()
        poller = select.poll()
        for client in crowd:
            poller.register(client, select.POLLIN)
        told = {descriptor for descriptor, _ in poller.poll(0)}
        silent = sum(client.fileno() not in told for client in crowd)
        if silent:
            self.bad.append(
                f"{silent} of {len(crowd)} clients that said nothing whole to {name} got no word and no close"
            )
        for client in crowd:
            client.close()

    # --- Growth ---
    def sample(self):
        for child in self.managers:
            found = resources(child.process.pid)
            if found:
                at = time.monotonic() - self.begun
                self.samples.setdefault(child.process.pid, []).append((at, *found))
        if self.sample_again:
            self.after(SAMPLE_MS, self.sample)

    def check_growth(self):
        seconds = self.fleet["seconds"]
        for pid, samples in self.samples.items():
            if seconds < GROWTH_FROM_S or samples[-1][0] - samples[0][0] < 0.9 * seconds:
                continue
            for what, column, extra in (("kB", 1, GROWTH_KB), ("descriptors", 2, GROWTH_DESCRIPTORS)):
                first = [s[column] for s in samples if s[0] < seconds / 3]
                last = [s[column] for s in samples if 2 * seconds / 3 <= s[0] < seconds]
                before, after = sum(first) / len(first), sum(last) / len(last)
                if after > GROWTH_FACTOR * before + extra:
                    self.bad.append(f"process {pid} grew from {before:.0f} to {after:.0f} {what}")

    def hear(self):
        super().hear()
        if self.asked:  # the trial may come to its end once nothing is timed any more
            self.sample_again = False

    def play(self):
        bad = super().play()
        if self.ready < READY_SHARE * self.restarts:
            bad.append(f"{self.ready} of {self.restarts} restarts were ready within {READY_WITHIN_S} s")
        self.check_growth()
        return bad

    def end(self):
        for client in self.crowds:
            client.close()
        super().end()
