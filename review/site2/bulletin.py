"""The bulletin: the node list as server-sent events."""
import asyncio
import json


class Bulletin:
    def __init__(self, site):
        self.site, self.events, self.wake = site, [], asyncio.Event()
        self.answer_after_s = 0.0  # how late each call is answered
        self.calls = 0

    async def listen(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def put(self, agents, whole=False):
        number = len(self.events) + 1
        roster = {"rev": number, "all": whole, "targets": [agent.entry() for agent in agents]}
        self.events.append({"no": number, "roster": roster})
        shown = ", ".join(f"{agent.uid} {agent.state}" for agent in agents)
        self.site.say(f"bulletin: event {number}: {shown}")
        self.wake.set()
        self.wake = asyncio.Event()
        return self.site.now()

    def known(self):
        return {"no": len(self.events), "items": list(self.events)}

    async def serve(self, reader, writer):
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            last = 0
            for line in head.decode().split("\r\n"):
                if line.lower().startswith("last-event-id:"):
                    last = int(line.split(":")[1])
            self.calls += 1
            self.site.say(f"bulletin: call {self.calls}, last event {last}")
            if self.answer_after_s:
                await asyncio.sleep(self.answer_after_s)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-cache\r\n\r\n")
            while True:
                for event in self.events[last:]:
                    last = event["no"]
                    writer.write(f"id: {last}\ndata: {json.dumps(event)}\n\n".encode())
                await writer.drain()
                try:
                    await asyncio.wait_for(self.wake.wait(), 1)
                except asyncio.TimeoutError:
                    writer.write(b": \n\n")
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()
