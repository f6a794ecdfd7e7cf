"""The binary messages of the protocol page."""
import struct

SETUP, PROGRESS, ANSWER, RELEASE, HEARD, NOTE, MOVE, TEST, TESTED = 1, 6, 9, 12, 16, 44, 51, 52, 53
CLASS, WAIT_MS, TENANT, RETRY, NAME, FIGURES = 100, 101, 102, 103, 104, 105
AWAY_MS, DETAIL, REPORT, LEVEL, KEY, CAUSE, DESCRIPTION = 106, 107, 109, 112, 113, 114, 115
ENDED, CANCELLED, FULL, RESET, REFUSED, ERROR, MOOT = 16, 31, 34, 41, 42, 47, 102
REFUSALS = (FULL, REFUSED, MOOT)


def message(kind, task, parameters=()):
    body = struct.pack(">BQ", kind, task)
    for code, value in parameters:
        if code == CAUSE:
            value = bytes([value])
        elif not isinstance(value, bytes):
            value = str(value).encode()
        body += struct.pack(">BH", code, len(value)) + value
    return struct.pack(">H", len(body)) + body


def parse(body):
    kind, task = struct.unpack(">BQ", body[:9])
    found, at = {}, 9
    while at < len(body):
        code, size = struct.unpack(">BH", body[at : at + 3])
        value = body[at + 3 : at + 3 + size]
        found[code] = value[0] if code == CAUSE else value if code == DESCRIPTION else value.decode()
        at += 3 + size
    return kind, task, found


class Reader:
    """Cuts a stream into messages."""

    def __init__(self):
        self.bytes = b""

    def feed(self, data):
        self.bytes += data
        while len(self.bytes) >= 2:
            size = struct.unpack(">H", self.bytes[:2])[0]
            if len(self.bytes) < 2 + size:
                return
            body, self.bytes = self.bytes[2 : 2 + size], self.bytes[2 + size :]
            yield parse(body)
