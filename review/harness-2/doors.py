"""A proxy in front of each machine's side for the others, which can cut machines from each other.

Whose a connection is, the proxy finds by the process that holds its other end. A cut holds all bytes back, of open and
of new connections; when it heals, the connections that were held are reset.

Commands come on standard input, one a line, and each is answered by a line:
    door PLACE OUTER INNER PORT     listens at OUTER and passes on to INNER
    pid PLACE PID                   the process of a machine
    cut PLACE,PLACE                 cuts these machines from all others
    heal
"""

import asyncio
import os
import socket
import struct
import sys


def inode(near, far):
    """The inode of the socket at `near` of the connection with `far`.

    The system's socket diagnosis (sock_diag) tells it at once; where there is none, the table of all sockets does.
    """
    try:
        return diagnosed_inode(near, far)
    except OSError:
        return listed_inode(near)


def listed_inode(near):
    want = f"{struct.unpack('<I', socket.inet_aton(near[0]))[0]:08X}:{near[1]:04X}"
    with open("/proc/net/tcp", encoding="ascii") as table:
        found = [line.split()[9] for line in table if line.split()[1] == want]
    return found[0] if found else None


def diagnosed_inode(near, far):
    request = struct.pack("=BBBBI", socket.AF_INET, socket.IPPROTO_TCP, 0, 0, 0xFFFFFFFF)
    request += struct.pack("!HH", near[1], far[1])
    request += socket.inet_aton(near[0]) + bytes(12) + socket.inet_aton(far[0]) + bytes(12)
    request += struct.pack("=III", 0, 0xFFFFFFFF, 0xFFFFFFFF)
    head = struct.pack("=IHHII", 16 + len(request), 20, 1, 1, 0)
    with socket.socket(socket.AF_NETLINK, socket.SOCK_RAW, 4) as diagnosis:
        diagnosis.send(head + request)
        answer = diagnosis.recv(4096)
    if struct.unpack_from("=H", answer, 4)[0] != 20:
        raise OSError("no such socket, or no diagnosis")
    return struct.unpack_from("=I", answer, 16 + 4 + 48 + 16)[0]


class Doors:
    def __init__(self):
        self.pids = {}
        self.cut = set()
        self.open = asyncio.Event()
        self.open.set()

    def is_cut(self, source, place):
        return source is not None and (source in self.cut) != (place in self.cut)

    def owner(self, peer, own):
        """The machine whose process holds the other end of a connection; None for any other process."""
        links = {f"socket:[{inode(peer, own)}]"}
        for place, pid in list(self.pids.items()):
            try:
                for name in os.listdir(f"/proc/{pid}/fd"):
                    try:
                        if os.readlink(f"/proc/{pid}/fd/{name}") in links:
                            return place
                    except OSError:
                        pass
            except OSError:
                pass
        return None

    async def door(self, place, outer, inner, port):
        async def joined(reader, writer):
            await self.join(reader, writer, place, inner, port)

        await asyncio.start_server(joined, outer, port, backlog=256)

    async def join(self, reader, writer, place, inner, port):
        source = self.owner(writer.get_extra_info("peername"), writer.get_extra_info("sockname"))
        far = None
        try:
            if self.is_cut(source, place):
                await self.open.wait()
                return
            far_reader, far = await asyncio.wait_for(asyncio.open_connection(inner, port), 5)
            for end in (writer, far):
                end.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            tasks = [
                asyncio.ensure_future(self.pump(reader, far, source, place)),
                asyncio.ensure_future(self.pump(far_reader, writer, source, place)),
            ]
            done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            for task in tasks:
                task.cancel()
            if all(task.result() for task in done):
                writer.close()
                far.close()
        except (OSError, asyncio.TimeoutError):
            pass
        finally:
            for end in (writer, far):
                if end is not None and not end.is_closing():
                    end.transport.abort()

    async def pump(self, reader, writer, source, place):
        """Passes bytes on until the end; whether that was an end in order."""
        try:
            while True:
                piece = await reader.read(65536)
                if self.is_cut(source, place):
                    await self.open.wait()
                    return False
                if not piece:
                    return True
                writer.write(piece)
                await writer.drain()
        except OSError:
            return False


async def main():
    doors = Doors()
    lines = asyncio.StreamReader()
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(lines), sys.stdin)
    while line := (await lines.readline()).decode().split():
        if line[0] == "door":
            await doors.door(int(line[1]), line[2], line[3], int(line[4]))
        elif line[0] == "pid":
            doors.pids[int(line[1])] = int(line[2])
        elif line[0] == "cut":
            doors.cut = {int(place) for place in line[1].split(",")}
            doors.open.clear()
        elif line[0] == "heal":
            doors.cut = set()
            doors.open.set()
        print("ok", flush=True)


asyncio.run(main())
