"""Processes that a rig starts: their lines are read as they come, and they end with the rig."""
import collections
import signal
import subprocess
import threading
import time


class Child:
    """A process whose lines are kept as they come."""

    def __init__(self, command, stream="stdout", env=None):
        pipes = {"stdin": subprocess.PIPE, stream: subprocess.PIPE}
        self.process = subprocess.Popen([str(c) for c in command], text=True, env=env, **pipes)
        self.lines = collections.deque()
        self.new = threading.Condition()
        self.ended = False
        self.source = getattr(self.process, stream)
        threading.Thread(target=self.read, daemon=True).start()

    def read(self):
        for line in self.source:
            with self.new:
                self.lines.append(line.rstrip("\n"))
                self.new.notify_all()
        with self.new:
            self.ended = True
            self.new.notify_all()

    def wait_for(self, wanted, seconds=30):
        """The first line from here on for which wanted(line) holds; lines before it are dropped."""
        until = time.monotonic() + seconds
        with self.new:
            while True:
                while self.lines:
                    line = self.lines.popleft()
                    if wanted(line):
                        return line
                left = until - time.monotonic()
                if self.ended or left <= 0:
                    raise SystemExit(f"rig: {self.process.args[:2]} said nothing of the kind in time")
                self.new.wait(left)

    def say(self, line):
        self.process.stdin.write(line + "\n")
        self.process.stdin.flush()

    def end(self, how=signal.SIGTERM):
        if self.process.poll() is None:
            self.process.send_signal(how)
            try:
                self.process.wait(5)
            except subprocess.TimeoutExpired:
                self.process.kill()
                self.process.wait()
