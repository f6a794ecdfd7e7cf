"""What every case needs: the record, the program as a process of its own, and owners who ask it.

All stand-ins run on one asyncio loop, on loopback addresses, and end with it.
"""
import asyncio
import json
import os
import pathlib
import re
import signal
import subprocess
import sys
import tempfile
import time

import wire

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "bench"))
from agents import Agent, Bulletin  # noqa: E402,F401
from link import Link  # noqa: E402
from standin_site import settings  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def run_command():
    """The deploy file's command for one cluster manager."""
    run = re.search(r'^run *= *"(.*)"', (ROOT / "deploy/balancer.toml").read_text(), re.M).group(1)
    if not (ROOT / run.split()[-1]).exists():
        raise RuntimeError("the program is missing: build it as the deploy file says")
    return run


class Record:
    """What was sent, answered and run, a line each, in the order in which it was seen."""

    def __init__(self, path):
        self.begun = time.time()
        self.out = open(path, "w", encoding="utf-8")
        self.line("record", f"begun, TROUBLE={int(TROUBLE)}")

    def line(self, who, text):
        self.out.write(f"{time.time() - self.begun:9.4f} {who}: {text}\n")
        self.out.flush()


class Manager:
    """The program, started as the deploy file says, by /bin/sh from the root of the repository."""

    def __init__(self, record, bulletin, name="n0", change=None):
        self.record, self.name, self.bulletin, self.starts = record, name, bulletin, 0
        self.folder = tempfile.TemporaryDirectory(prefix="review-")
        self.config = {
            "name": name,
            "listen": "127.0.0.1:0",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "bulletin": f"127.0.0.1:{bulletin.port}",
            "known": bulletin.known(),
            "settings": settings(),
        }
        if change:
            change(self.config["settings"])

    async def start(self):
        folder = pathlib.Path(self.folder.name)
        self.starts += 1
        self.config["seed"] = f"8c1f30d27a5be9{self.starts:02x}"  # new with each start
        (folder / "config.json").write_text(json.dumps(self.config))
        (folder / "tmp").mkdir(exist_ok=True)
        run = run_command()
        self.log = folder / "log"
        env = dict(os.environ, ROUTER_CONFIG=str(folder / "config.json"), TMPDIR=str(folder / "tmp"))
        with open(self.log, "wb") as log:
            self.process = subprocess.Popen(["/bin/sh", "-c", run], cwd=ROOT, env=env, stdout=log, stderr=log)
        self.record.line(self.name, f"started: {run}")
        for _ in range(200):
            found = re.search(r"listens on 127\.0\.0\.1:(\d+)", self.log.read_text())
            if found:
                self.port = int(found.group(1))
                return
            await asyncio.sleep(0.05)
        raise RuntimeError("the program said no address")

    def ended(self):
        return self.process.poll() is not None

    def keep_log(self):
        for line in self.log.read_text(errors="replace").splitlines():
            if not re.match(r"(counter|size|call) ", line):
                self.record.line(f"{self.name} log", line)

    def end(self):
        if not self.ended():
            self.process.send_signal(signal.SIGKILL)
        self.process.wait()
        self.keep_log()
        self.folder.cleanup()


class Ask:
    def __init__(self, task, kind, name):
        self.task, self.kind, self.name = task, kind, name
        self.asked, self.answer, self.over, self.cause, self.link = 0, 0, 0, None, None
        self.resent = False


class Owner:
    """Asks on connections of its own and notes what comes back."""

    def __init__(self, record, manager, name="owner"):
        self.record, self.manager, self.name = record, manager, name
        self.asks, self.links, self.next = {}, [], 0x5EED000000000001
        self.closed = None  # called with each connection that ends

    async def connect(self, port=None):
        loop = asyncio.get_running_loop()
        _, link = await loop.create_connection(
            lambda: Link(self.on_message, self.on_closed), "127.0.0.1", port or self.manager.port
        )
        link.passed = asyncio.Event()
        self.links.append(link)
        return link

    async def admitted(self):
        """Tests the program as the front does, until it says that it is ready."""
        for _ in range(200):
            link = await self.connect()
            link.send(wire.message(wire.TEST, 0x7E57, cause=0))
            try:
                await asyncio.wait_for(link.passed.wait(), 0.3)
                return
            except asyncio.TimeoutError:
                await asyncio.sleep(0.05)
            finally:
                link.transport.close()
        raise RuntimeError("the program isn't ready")

    def on_closed(self, link):
        if link in self.links:
            self.links.remove(link)
        if self.closed:
            self.closed(link)

    def on_message(self, link, m):
        if m.kind == wire.TESTED:
            if m.cause == 1:
                link.passed.set()
            return
        ask = self.asks.get(m.task)
        if ask is None:
            return
        if m.kind == wire.ANSWER:
            ask.answer = ask.answer or time.time()
            self.record.line(self.name, f"{m.task:016x} answered: {m.text(wire.DESCRIPTION)}")
        elif m.kind == wire.RELEASE:
            if not ask.over:
                ask.over, ask.cause = time.time(), m.cause
            what = "is over" if ask.answer else "refused" if m.cause in wire.REFUSED else "failed"
            self.record.line(self.name, f"{m.task:016x} {what}, cause {m.cause}")
            link.send(wire.message(wire.HEARD, m.task))

    def ask(self, link, kind, service, life, cores=1, memory=2):
        self.next += 1
        ask = Ask(self.next, kind, f"{self.next ^ 0xA << 60:016x}")
        ask.asked, ask.link = time.time(), link
        ask.figures, ask.life = f"cores:{cores};memory:{memory};service:{service:016x}", life
        ask.bytes = self.set_up(ask)
        self.asks[ask.task] = ask
        self.record.line(self.name, f"{ask.task:016x} asked: {kind}, service {service:x}, lives {life} s")
        link.send(ask.bytes)
        return ask

    @staticmethod
    def set_up(ask, at=None):
        """The set-up of a task; with `at` that of one which this agent holds already."""
        parameters = {
            "class": ask.kind,
            "wait": {"web-api": 6000, "card-worker": 8000, "settlement": 10000}[ask.kind],
            "tenant": "shop-a",
            "name": ask.name,
            "figures": ask.figures + (f";at:{at}" if at else ""),
            "description": f"{ask.figures};life:{ask.life}",
        }
        if ask.kind == "card-worker":
            parameters["key"] = f"{ask.task:032x}"
        return wire.message(wire.SET_UP, ask.task, **parameters)


def ready_to_judge(owner, gone, least):
    """Raises where there is nothing to judge by this rule: the program ended by itself, or too few tasks ever stood."""
    stood = sum(1 for ask in owner.asks.values() if ask.answer)
    if gone or stood < least:
        raise RuntimeError(f"{stood} tasks stood, the program {'ended' if gone else 'was there'}")


def main(folder, play):
    """Runs `play(record)`, which returns the breaches it saw. Exit status: 1 broken, 0 held, 2 could not run."""
    record = Record(pathlib.Path(folder) / "record.txt")
    status = 2

    def interrupted(*_):
        raise KeyboardInterrupt

    signal.signal(signal.SIGTERM, interrupted)
    try:
        breaches = asyncio.run(play(record))
        status = 1 if breaches else 0
        for breach in breaches:
            record.line("BROKEN", breach)
            print("broken:", breach)
        if not breaches:
            record.line("held", "the rule was kept")
            print("the rule was kept")
    except (Exception, KeyboardInterrupt) as error:  # pylint: disable=broad-except
        record.line("could not run", repr(error))
        print("could not run:", repr(error), file=sys.stderr)
    sys.exit(status)
