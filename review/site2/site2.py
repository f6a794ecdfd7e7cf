"""A small deployment on loopback: one cluster manager started by the deploy file, and stand-ins for the rest."""
import asyncio
import json
import os
import pathlib
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time

from agent import Agent
from bulletin import Bulletin
from owner import Owner

ROOT = pathlib.Path(__file__).resolve().parents[2]
SECOND, MS = 1_000_000_000, 1_000_000
HALLS = ["hall-a", "hall-b", "hall-c"]
HELD, BROKEN, NOT_RUN = 0, 1, 2


def service(name, effect, deadline_s, key_ttl_s, worth, aim_s, late):
    return {
        "Aim": int(aim_s * SECOND),
        "Deadline": deadline_s * SECOND,
        "Effect": effect,
        "Group": "all",
        "KeyTtl": key_ttl_s * SECOND,
        "Lasting": True,
        "LateShare": late,
        "Name": name,
        "Worth": worth,
    }


def settings(group_size):
    """The example of the settings in the protocol of the simulator, as nested JSON."""
    return {
        "Allowed": {
            "AtOncePerConn": 1048576,
            "Cancelling": True,
            "CpuUsPerRequest": 0.0,
            "CpuUsPerS": 400000,
            "DialTimeout": 250 * MS,
            "Keepalive": 15 * SECOND,
            "MaxOpen": 1000000,
            "MaxRetryAfter": 3 * SECOND,
            "MayTell": False,
            "MostTries": 3,
            "Probing": True,
            "RetryAfter": True,
            "SecondCopies": False,
        },
        "Az": 0,
        "Clients": {"MarksRetry": True},
        "Discovery": "subscribe",
        "DomainType": "place",
        "FamilyInfo": {
            "AdmitMemory": 1.5,
            "ApartBy": ["none", "cell", "zone"],
            "Bound": True,
            "ClassCalm": [1.0, 0.8, 0.8],
            "ClassMost": [2, 3, 4],
            "ColdSends": 25.0,
            "CoresByKind": [42],
            "CoresMultiple": 2.5,
            "EvictWeight": 2.0,
            "FadesOver": [1.0, 0.15, 0.2],
            "MakesRoom": True,
            "MeanCores": 1.18,
            "MeanMemory": 1.91,
            "MeasuredBy": "used",
            "MemoryByKind": [66.0],
            "NeedsKind": [-1, -1, -1],
            "Precedence": [0, 2, 2],
            "SaysPressure": False,
            "SaysUse": False,
            "Settle": 3 * SECOND,
            "StartSeconds": [8.0, 10.0, 12.0],
            "TenantQuotaCores": [179.0, 158.0],
            "TurnedDownPrice": 0.02,
            "View": True,
            "YesAt": "running",
        },
        "GroupSize": group_size,
        "Kinds": ["std-48"],
        "Layers": ["gift-fleet"],
        "Ordinal": 0,
        "OverShareWorth": 0.2,
        "Period": 2 * MS,
        "Prices": {"Discovery": 0.0057, "Moves": 0.05, "Probe": 0.0038, "Waste": 0.039},
        "Rules": {
            "AnswerSlack": 8 * MS,
            "AskWithin": 10 * SECOND,
            "Cold": 15 * SECOND,
            "ColdFrom": 0.21,
            "DrainGrace": 500 * MS,
            "Fall": 1500 * MS,
            "FallMultiple": 2.5,
        },
        "Services": [
            service("web-api", "pure", 6, 5, 1.0, 0.7, 0.2),
            service("card-worker", "token", 8, 6, 5.0, 0.8, 0.1),
            service("settlement", "side_effect", 10, 5, 5.0, 5.5, 0.1),
        ],
        "Telemetry": {"Fields": ["x0", "x1", "waiting"], "Source": "probe"},
        "Tenants": [
            {"Name": "kalna-veikali", "Portion": 0.53, "QuotaPerS": 8.0},
            {"Name": "saulite-kafija", "Portion": 0.47, "QuotaPerS": 7.0},
        ],
        "Tier": 0,
        "Weights": "none",
        "WorthBy": "work",
        "Zones": HALLS,
    }


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Site:
    def __init__(self, folder, agents=3, group_size=3, sockets=1024, trouble=True):
        self.record = open(pathlib.Path(folder) / "record.txt", "w", buffering=1)
        self.began = time.monotonic()
        self.trouble, self.sockets = trouble, sockets
        self.temporary = tempfile.TemporaryDirectory(prefix="willowrail-review-")
        self.requests, self.ends, self.cuts, self.started, self.over = {}, {}, [], [], []
        self.number = 0x10_0000_0000
        self.settings = settings(group_size)
        self.agents = [Agent(self, i + 1, HALLS[i % 3], i) for i in range(agents)]
        self.bulletin = Bulletin(self)
        self.processes = []
        self.port, self.admin_port, self.listen_fd = free_port(), None, None
        self.say(f"trouble: {'yes' if trouble else 'no'}")

    def now(self):
        return time.monotonic() - self.began

    def say(self, text):
        self.record.write(f"{self.now():8.3f} {text}\n")

    def next_number(self):
        self.number += 1
        return self.number

    def deadline_ms(self, kind):
        return next(s["Deadline"] // MS for s in self.settings["Services"] if s["Name"] == kind)

    def on_over(self, request):
        """Where an owner is told that a task is over: whether an agent still holds it."""
        holders = [agent.uid for agent in self.agents if agent.holds(request.number)]
        self.over.append((self.now(), request, holders))
        if holders:
            self.say(f"but agent {holders[0]} holds {request.number:016x} and runs it")

    async def prepare(self):
        for agent in self.agents:
            await agent.listen()
        await self.bulletin.listen()
        self.bulletin.put(self.agents, True)

    def start_program(self, admin=False):
        """Starts `run` of the deploy file. More than one process may be started, as at an upgrade."""
        run = re.search(r'^run = "(.*)"', (ROOT / "deploy/balancer.toml").read_text(), re.M).group(1)
        number = len(self.processes)
        config = {
            "name": "n0",
            "listen": f"127.0.0.1:{self.port}",
            "seed": f"8c1f30d27a5be96{number:x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": self.sockets},
            "bulletin": f"127.0.0.1:{self.bulletin.port}",
            "known": self.bulletin.known(),
            "settings": self.settings,
        }
        environment = dict(os.environ)
        if admin:
            self.admin_port = free_port()
            config["admin_addr"] = environment["ROUTER_ADMIN_ADDR"] = f"127.0.0.1:{self.admin_port}"
        path = pathlib.Path(self.temporary.name) / f"config{number}.json"
        path.write_text(json.dumps(config))
        environment.update(
            ROUTER_CONFIG=str(path),
            ROUTER_NAME="n0",
            ROUTER_LISTEN=f"127.0.0.1:{self.port}",
            TMPDIR=self.temporary.name,
        )
        if self.listen_fd is not None:
            environment["ROUTER_LISTEN_FD"] = "7"
        log = open(pathlib.Path(self.temporary.name) / f"log{number}.txt", "w")
        process = subprocess.Popen(
            ["/bin/sh", "-c", run],
            cwd=ROOT,
            env=environment,
            stdout=log,
            stderr=log,
            pass_fds=[7] if self.listen_fd is not None else [],
            preexec_fn=self.inherit_socket,
        )
        self.processes.append(process)
        self.say(f"process {number}: started")
        return process

    def hold_socket(self):
        """The platform holds the clients' listening socket, as on days with upgrades."""
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(("127.0.0.1", self.port))
        self.listener.listen(1024)
        self.listen_fd = self.listener.fileno()

    def inherit_socket(self):
        if self.listen_fd is not None:
            os.dup2(self.listen_fd, 7)

    async def connect(self, name, port=None):
        loop = asyncio.get_running_loop()
        _, owner = await loop.create_connection(lambda: Owner(self, name), "127.0.0.1", port or self.port)
        return owner

    async def until_ready(self, seconds=30):
        """The front: asks for a test until it is passed."""
        limit = self.now() + seconds
        while self.now() < limit:
            try:
                front = await self.connect("front")
                passed = await front.ready()
                front.close()
                if passed:
                    self.say("front: the cluster manager has passed a test")
                    return True
            except OSError:
                pass
            await asyncio.sleep(0.1)
        return False

    def start_second(self):
        """At an upgrade: `run` is started again while the process before serves. Returns that one."""
        self.start_program(admin=True)
        return self.processes[-2]

    async def is_ready_for_operators(self):
        try:
            return await self.call("GET", "/v1/readyz") == 200
        except OSError:
            return False

    async def upgrade(self):
        """The old process gets SIGTERM at the yes of the new one, asked for every 0.1 s."""
        old = self.start_second()
        for _ in range(60):
            await asyncio.sleep(0.1)
            if await self.is_ready_for_operators():
                break
        old.send_signal(signal.SIGTERM)
        self.say("the old process: SIGTERM")

    async def call(self, method, path, port=None):
        """A call of an operator: the status."""
        reader, writer = await asyncio.open_connection("127.0.0.1", port or self.admin_port)
        writer.write(f"{method} {path} HTTP/1.1\r\nHost: admin\r\nContent-Length: 0\r\n\r\n".encode())
        line = await asyncio.wait_for(reader.readline(), 2)
        writer.close()
        status = int(line.split()[1])
        self.say(f"operator: {method} {path}: {status}")
        return status

    def end(self):
        for number, process in enumerate(self.processes):
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
            process.wait()
            text = (pathlib.Path(self.temporary.name) / f"log{number}.txt").read_text()
            for line in text.splitlines():
                if not line.startswith(("counter", "call", "size")):
                    self.record.write(f"log of process {number}: {line}\n")
        self.temporary.cleanup()


def run_case(folder, case, **options):
    """Runs `case(site)`, an async function that returns HELD or BROKEN, and exits with its result."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))  # ends what was started
    site = Site(folder, trouble=trouble, **options)

    async def play():
        await site.prepare()
        return await asyncio.wait_for(case(site), 100)

    result = NOT_RUN
    try:
        result = asyncio.run(play())
        if any(process.poll() not in (None, 0) for process in site.processes):
            site.say("a process of the program has ended by itself")
            result = NOT_RUN
    except Exception as error:  # the case could not run
        site.say(f"could not run: {type(error).__name__}: {error}")
    finally:
        site.end()
    site.record.write(f"result: {['held', 'broken', 'not run'][result]}\n")
    print(f"{pathlib.Path(folder).name}: {['held', 'broken', 'not run'][result]}")
    sys.exit(result)
