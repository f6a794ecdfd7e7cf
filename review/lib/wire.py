"""The messages between owners, cluster managers and agents: length, type, task and parameters, big-endian."""
import struct

SET_UP, ANSWER, RELEASE, HEARD, MOVE, TEST, TESTED = 1, 9, 12, 16, 51, 52, 53
CLASS, WAIT, TENANT, NAME, FIGURES, AWAY, NOTE, REPORT, KEY, CAUSE, DESCRIPTION = (
    100,
    101,
    102,
    104,
    105,
    106,
    107,
    109,
    113,
    114,
    115,
)
ENDED, FULL, CUT, STOPPED, ERROR = 16, 34, 41, 31, 47
REFUSED = (34, 42, 102)


def message(kind, task, **parameters):
    """Parameters are given by the names above, in lower case; `cause` is a number, the others are text."""
    body = struct.pack(">BQ", kind, task)
    for name, value in parameters.items():
        code = globals()[name.upper()]
        raw = bytes([value]) if code == CAUSE else value if isinstance(value, bytes) else str(value).encode()
        body += struct.pack(">BH", code, len(raw)) + raw
    return struct.pack(">H", len(body)) + body


class Message:
    def __init__(self, body):
        self.kind, self.task = struct.unpack(">BQ", body[:9])
        self.values = {}
        at = 9
        while at < len(body):
            code, length = struct.unpack(">BH", body[at : at + 3])
            self.values[code] = body[at + 3 : at + 3 + length]
            at += 3 + length

    def text(self, code):
        return self.values.get(code, b"").decode()

    @property
    def cause(self):
        return self.values[CAUSE][0] if self.values.get(CAUSE) else -1


class Reader:
    """Cuts a stream of bytes into messages."""

    def __init__(self):
        self.kept = b""

    def feed(self, data):
        self.kept += data
        while len(self.kept) >= 2:
            length = struct.unpack(">H", self.kept[:2])[0]
            if len(self.kept) < 2 + length:
                return
            body, self.kept = self.kept[2 : 2 + length], self.kept[2 + length :]
            yield Message(body)
