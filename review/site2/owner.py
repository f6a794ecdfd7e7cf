"""Owners of tasks: connections to the cluster manager, set-ups, answers, releases."""
import asyncio

import wire


class Request:
    def __init__(self, number, kind, name, sent_at, wait_ms):
        self.number, self.kind, self.name, self.sent_at, self.wait_ms = number, kind, name, sent_at, wait_ms
        self.outcome = None  # stands, refused, failed
        self.answered_at = self.over_at = self.over_cause = None
        self.lost = None  # why, where its connection ended without an answer
        self.agent = None


class Owner(asyncio.Protocol):
    """One connection of an owner."""

    def __init__(self, site, name):
        self.site, self.name, self.reader, self.open = site, name, wire.Reader(), False
        self.closed_at, self.last_traffic, self.last_setup = None, None, None
        self.tested, self.mine = asyncio.Queue(), {}
        self.closed_by_us = False
        self.confirms = True  # "release heard" is free

    def connection_made(self, transport):
        self.transport, self.open = transport, True
        self.last_traffic = self.site.now()

    def eof_received(self):
        self.site.say(f"owner {self.name}: the cluster manager ended the connection")
        return False

    def connection_lost(self, error):
        self.open, self.closed_at = False, self.site.now()
        if error is not None:
            self.site.say(f"owner {self.name}: connection lost: {type(error).__name__}")
        for request in self.mine.values():
            if request.outcome is None and not self.closed_by_us:
                request.lost = "its connection ended without an answer"
                self.site.say(f"owner {self.name}: {request.number:016x} has no answer, and its connection has ended")

    def write(self, data):
        self.last_traffic = self.site.now()
        self.transport.write(data)

    def data_received(self, data):
        self.last_traffic = self.site.now()
        for kind, number, found in self.reader.feed(data):
            self.heard(kind, number, found)

    def heard(self, kind, number, found):
        if kind == wire.TESTED:
            self.tested.put_nowait(found[wire.CAUSE])
            return
        request = self.site.requests.get(number)
        if request is None:
            return
        if kind == wire.ANSWER:
            request.outcome, request.answered_at = "stands", self.site.now()
            request.agent = found[wire.DESCRIPTION].decode().split()[-1]
            self.site.say(f"owner {self.name}: {number:016x} stands, {found[wire.DESCRIPTION].decode()}")
        elif kind == wire.RELEASE and request.outcome is None:
            refused = found[wire.CAUSE] in wire.REFUSALS
            request.outcome, request.answered_at = "refused" if refused else "failed", self.site.now()
            self.site.say(f"owner {self.name}: {number:016x} is {request.outcome}, cause {found[wire.CAUSE]}")
        elif kind in (wire.RELEASE, wire.MOVE) and request.over_at is None:
            request.over_at, request.over_cause = self.site.now(), found.get(wire.CAUSE)
            self.site.say(f"owner {self.name}: told that {number:016x} is over, cause {request.over_cause}")
            self.site.on_over(request)
            if self.confirms:
                self.write(wire.message(wire.HEARD, number))

    def setup(self, kind, service, cores=0.5, memory=0.5, wait_ms=None, send=True):
        number, name = self.site.next_number(), self.site.next_number()
        wait_ms = wait_ms or self.site.deadline_ms(kind)
        parameters = [
            (wire.CLASS, kind),
            (wire.WAIT_MS, wait_ms),
            (wire.TENANT, "kalna-veikali"),
            (wire.NAME, f"{name:016x}"),
            (wire.FIGURES, f"cores:{cores:g};memory:{memory:g};service:{service:016x}"),
        ]
        if kind == "card-worker":
            parameters.append((wire.KEY, f"{name:032x}"))
        parameters.append((wire.DESCRIPTION, b"task of an owner"))
        data = wire.message(wire.SETUP, number, parameters)
        if not send:
            return data
        request = Request(number, kind, f"{name:016x}", self.site.now(), wait_ms)
        self.site.requests[number] = self.mine[number] = request
        self.last_setup = self.site.now()
        self.site.say(f"owner {self.name}: asks for {number:016x} {kind}, service {service:x}")
        self.write(data)
        return request

    def end_task(self, request):
        self.site.say(f"owner {self.name}: ends {request.number:016x}, which stands")
        self.write(wire.message(wire.RELEASE, request.number, [(wire.CAUSE, wire.CANCELLED)]))

    async def ready(self):
        """Whether the cluster manager passes a test."""
        self.write(wire.message(wire.TEST, self.site.next_number(), [(wire.CAUSE, 0)]))
        try:
            return await asyncio.wait_for(self.tested.get(), 1) == 1
        except asyncio.TimeoutError:
            return False

    def close(self):
        self.closed_by_us = True
        self.transport.close()
