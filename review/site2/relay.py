"""A relay between an owner and the cluster manager that can hold back bytes and reset."""
import asyncio
import socket
import struct


class Relay:
    def __init__(self, site):
        self.site, self.silent, self.pairs = site, False, []

    async def listen(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        far_reader, far_writer = await asyncio.open_connection("127.0.0.1", self.site.port)
        self.pairs += [writer, far_writer]
        await asyncio.gather(self.carry(reader, far_writer), self.carry(far_reader, writer))

    async def carry(self, reader, writer):
        try:
            while data := await reader.read(4096):
                while self.silent:
                    await asyncio.sleep(0.01)
                writer.write(data)
            writer.close()
        except (ConnectionError, OSError):
            pass

    def reset(self):
        for writer in self.pairs:
            plain = writer.get_extra_info("socket")
            plain.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()
