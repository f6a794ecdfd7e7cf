"""One end of a TCP connection on which messages come and go."""
import asyncio
import time

import wire


class Link(asyncio.Protocol):
    """One end of a TCP connection. Who has forgotten it sends nothing on it, and answers what comes with a reset."""

    def __init__(self, on_message, on_closed=None, on_made=None):
        self.on_message, self.on_closed, self.on_made = on_message, on_closed, on_made
        self.reader, self.forgotten, self.open, self.used = wire.Reader(), False, True, time.time()

    def connection_made(self, transport):
        self.transport = transport
        if self.on_made:
            self.on_made(self)

    def data_received(self, data):
        if self.forgotten:
            self.transport.abort()
            return
        self.used = time.time()
        for message in self.reader.feed(data):
            self.on_message(self, message)

    def connection_lost(self, error):
        self.open = False
        if self.on_closed:
            self.on_closed(self)

    def send(self, data):
        if self.open:
            self.used = time.time()
            self.transport.write(data)
