"""Upgrades: processes of one cluster manager, one after the other, on a listening socket that the platform holds."""
import asyncio
import json
import os
import pathlib
import re
import signal
import socket
import subprocess
import tempfile
import time

import stand
import wire

LISTEN_FD = 7


class Platform:
    """Holds the clients' socket and the folder that both processes of an upgrade share; replaces the process."""

    def __init__(self, record, bulletin, agents, change=None):
        self.record, self.bulletin, self.agents, self.change = record, bulletin, agents, change
        self.folder = tempfile.TemporaryDirectory(prefix="review-")
        self.root = pathlib.Path(self.folder.name)
        (self.root / "tmp").mkdir()
        self.listening = socket.create_server(("127.0.0.1", 0), backlog=512)
        self.port = self.listening.getsockname()[1]
        self.processes = []
        self.spans = []  # SIGTERM, the end of the old process, and 0.1 s later

    def start(self):
        number = len(self.processes)
        config = {
            "name": "n0",
            "listen": f"127.0.0.1:{self.port}",
            "admin_addr": "127.0.0.1:0",
            "seed": f"8c1f30d27a5be9{number:02x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "bulletin": f"127.0.0.1:{self.bulletin.port}",
            "known": self.bulletin.known(),
            "settings": stand.settings(),
        }
        if self.change:
            self.change(config["settings"])
        path = self.root / f"config{number}.json"
        path.write_text(json.dumps(config))
        env = dict(os.environ, ROUTER_CONFIG=str(path), TMPDIR=str(self.root / "tmp"), ROUTER_LISTEN_FD=str(LISTEN_FD))
        command = stand.run_command()
        with open(self.root / f"log{number}", "wb") as log:
            process = subprocess.Popen(
                ["/bin/sh", "-c", command],
                cwd=stand.ROOT,
                env=env,
                stdout=log,
                stderr=log,
                close_fds=False,
                preexec_fn=lambda: os.dup2(self.listening.fileno(), LISTEN_FD),
            )
        self.processes.append(process)
        self.record.line("platform", f"process {number} started: {command}")

    async def ready(self):
        """Asks the newest process at its second address until it says yes."""
        number = len(self.processes) - 1
        for _ in range(300):
            said = re.search(r"admin API address: 127\.0\.0\.1:(\d+)", (self.root / f"log{number}").read_text())
            if said:
                reader, writer = await asyncio.open_connection("127.0.0.1", int(said.group(1)))
                writer.write(b"GET /v1/readyz HTTP/1.1\r\nHost: operators\r\n\r\n")
                answer = await reader.read()
                writer.close()
                if answer.startswith(b"HTTP/1.1 200"):
                    return
            await asyncio.sleep(0.02)
        raise RuntimeError("no yes from the new process")

    async def upgrade(self, owner):
        """SIGTERM to the old process at the new one's yes, SIGKILL after the longest deadline (5 s) and 0.7 s."""
        self.start()
        await self.ready()
        old, asked = self.processes[-2], time.time()
        old.send_signal(signal.SIGTERM)
        self.record.line("platform", "SIGTERM to the old process")
        while old.poll() is None:
            await asyncio.sleep(0.002)
            if time.time() - asked > 5.7:
                old.kill()
                self.record.line("platform", "SIGKILL to the old process")
        self.spans.append((asked, time.time(), time.time() + 0.1))
        self.record.line("platform", f"the old process is gone after {time.time() - asked:.2f} s")
        await asyncio.sleep(0.1)
        await self.hand_over(owner)

    async def hand_over(self, owner):
        """Names what still stands to the new process, in set-ups with `at`."""
        link = await owner.connect()
        handed = 0
        for agent in self.agents:
            for task in [t.task for t in agent.tasks.values() if t.state == "runs"]:
                ask = owner.asks[task]
                if ask.answer and not ask.over:
                    link.send(owner.set_up(ask, at=agent.uid))
                    handed += 1
        self.record.line("platform", f"handed over {handed} tasks that stand")

    def end(self):
        for number, process in enumerate(self.processes):
            if process.poll() is None:
                process.kill()
            process.wait()
            for line in (self.root / f"log{number}").read_text(errors="replace").splitlines():
                if not re.match(r"(counter|size|call) ", line):
                    self.record.line(f"log of process {number}", line)
        self.listening.close()
        self.folder.cleanup()


class Resending:
    """Owners' rule for a close: a set-up that crosses it within 50 ms is sent again, once, on a new connection."""

    def __init__(self, owner):
        self.owner = owner
        owner.closed = self.closed

    def closed(self, link):
        for ask in list(self.owner.asks.values()):
            if ask.link is link and not ask.answer and not ask.over:
                if time.time() - ask.asked <= 0.05 and not ask.resent:
                    ask.resent = True
                    asyncio.ensure_future(self.again(ask))

    async def again(self, ask):
        ask.link = await self.owner.connect()
        ask.link.send(ask.bytes)
        self.owner.record.line(self.owner.name, f"{ask.task:016x} sent again, its connection was closed")


def told_late(owner, agents, within, gone=(), before=0):
    """Tasks that came to their end at their agent and weren't released towards their owner in time.

    `gone`: when a process was asked to end, when it was gone, and when the next one had all that stood. Ends between
    the last two, and in the time `before` them, fall to nobody and aren't looked at.
    """
    breaches = []
    for agent in agents:
        for task, end in agent.over.items():
            ask = owner.asks[task]
            if any(last - before < end < up for _, last, up in gone):
                continue
            if ask.answer and (not ask.over or ask.over > end + within):
                told = f"told {ask.over - end:.2f} s later" if ask.over else "not told at all"
                ago = [last - end for asked, last, _ in gone if asked < end < last]
                when = f", {ago[0]:.3f} s before the old process was gone" if ago else ""
                breaches.append(f"{ask.kind} {task:016x} was over at {agent.uid}{when}; its owner was {told}")
    return breaches


__all__ = ["Platform", "Resending", "told_late", "wire"]
