"""Workers of a small deployment: plain services and engines.

Follows the platform's pages. Runs as a process of its own, serves every worker
that its command line names and writes one JSON line for each event to the
standard output. SIGUSR1 starts the trouble, SIGUSR2 ends
it, at all workers of the process.
"""

import argparse
import asyncio
import json
import signal
import sys
import time

WORK_S = 0.02
TOKEN_S = 0.02
TOKENS_PER_EVENT = 4
LAYERS = 12
# What a worker in trouble says that its answer has, and its pauses.
TRICKLED_BYTES = 1_000_000
TRICKLE_PAUSE_S = 0.5
# A worker that has crashed is back after this time.
DOWN_S = 2.0
# A worker in trouble sends no faster than this, bytes/s: less than the link of
# a front carries.
FLOOD_BYTES_PER_S = 40_000_000
FLOOD_PIECE = 65_536


def note(kind: str, **fields: object) -> None:
    """Writes one event."""
    line = {"at": round(time.time(), 3), "kind": kind, **fields}
    print(json.dumps(line), flush=True)


class Worker:
    """One worker at an address.

    Attributes:
        server_id: Its ID in the list of workers.
        model: Whether it is an engine.
    """

    def __init__(
        self, server_id: str, address: str, options: argparse.Namespace
    ) -> None:
        """Initializes a worker that doesn't listen yet.

        Args:
            server_id: Its ID in the list of workers.
            address: `IP:PORT`.
            options: The command line, and whether there is trouble now.
        """
        self.server_id = server_id
        self.address = address
        self.model = server_id.startswith("engine")
        self.born = int(time.time() * 1000)
        self._options = options
        self._begun = 0
        self._writers = set()
        self._crashed = asyncio.Event()

    async def serve(self) -> None:
        """Listens until the process ends; is back some time after a crash."""
        host, _, port = self.address.rpartition(":")
        stem = self.server_id
        incarnation = 0
        while True:
            server = await asyncio.start_server(
                self._connected, host, int(port)
            )
            note(
                "born",
                server=self.server_id,
                address=self.address,
                born=self.born,
            )
            self._crashed = asyncio.Event()
            await self._crashed.wait()
            server.close()
            for writer in list(self._writers):
                writer.transport.abort()
            note("crashed", server=self.server_id)
            await asyncio.sleep(DOWN_S)
            incarnation += 1
            self.server_id = f"{stem}.{incarnation}"
            self.born = int(time.time() * 1000)

    async def _connected(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while await self._answer_next(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer_next(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        try:
            head = await reader.readuntil(b"\r\n\r\n")
        except asyncio.IncompleteReadError:
            return False
        lines = head.decode("latin-1").split("\r\n")
        _, target, _ = lines[0].split(" ", 2)
        fields = {}
        for line in lines[1:]:
            if line:
                name, _, value = line.partition(":")
                fields[name.lower()] = value.strip()
        await reader.readexactly(int(fields.get("content-length", 0)))
        if target == "/report":
            self._send(writer, 200, json.dumps(self._report()).encode())
        elif target == "/order":
            self._send(writer, 409, b"{}")
        elif fields.get("x-dotterelgrade-expect-instance") not in (
            None,
            self.server_id,
        ):
            self._send(writer, 421, b"")
        elif self.model:
            await self._stream(writer, fields)
        else:
            await self._run(writer, target, fields)
        await writer.drain()
        return True

    def _report(self) -> dict:
        return {
            "stage": "prefill_decode",
            "models": [{"name": "model", "version": 1, "adapters": []}],
            "busy": False,
            "sequence": 0,
            "waiting": 0,
            "running": 0,
            "kv_used": 0,
            "kv_total": 1_000_000,
            "handles": 0,
            "pace": 1.0,
            "type": "kind",
            "layers": {"from": 0, "target": LAYERS, "version": 1},
            "born": self.born,
            "stalled": [],
        }

    def _send(
        self,
        writer: asyncio.StreamWriter,
        status: int,
        body: bytes,
        *rows: str,
    ) -> None:
        lines = [
            f"HTTP/1.1 {status} Status",
            f"Content-Length: {len(body)}",
            *rows,
        ]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    async def _run(
        self, writer: asyncio.StreamWriter, target: str, fields: dict[str, str]
    ) -> None:
        request_id = fields.get("x-dotterelgrade-attempt-id", "")
        note("run", server=self.server_id, id=request_id, target=target)
        await asyncio.sleep(WORK_S)
        if self._shall_trickle():
            await self._trickle(writer, request_id)
            return
        self._send(
            writer,
            200,
            b"done " + request_id.encode(),
            f"X-Dotterelgrade-Attempt-Id: {request_id}",
            f"X-Dotterelgrade-Response-Seal: {self.server_id}/{request_id}",
        )

    def _shall_trickle(self) -> bool:
        options = self._options
        if not options.active or not options.trickles:
            return False
        self._begun += 1
        done = int((self._begun - 1) * options.trickles)
        return int(self._begun * options.trickles) > done

    async def _trickle(
        self, writer: asyncio.StreamWriter, request_id: str
    ) -> None:
        """Sends a byte now and then until the caller closes."""
        note("trickle", server=self.server_id, id=request_id)
        head = (
            "HTTP/1.1 200 OK\r\n"
            f"Content-Length: {TRICKLED_BYTES}\r\n"
            f"X-Dotterelgrade-Attempt-Id: {request_id}\r\n"
            f"X-Dotterelgrade-Response-Seal: {self.server_id}/{request_id}"
            "\r\n\r\n"
        )
        writer.write(head.encode())
        try:
            while True:
                writer.write(b"x")
                await writer.drain()
                await asyncio.sleep(TRICKLE_PAUSE_S)
        finally:
            note("trickle_ended", server=self.server_id, id=request_id)

    async def _stream(
        self, writer: asyncio.StreamWriter, fields: dict[str, str]
    ) -> None:
        request_id = fields.get("x-dotterelgrade-attempt-id", "")
        crashes = self._crashes_under(fields)
        note(
            "run",
            server=self.server_id,
            id=request_id,
            bad=self._is_bad(fields),
        )
        counts = fields.get("x-dotterelgrade-token-counts", "100,40")
        last = int(counts.split(",")[1]) // TOKENS_PER_EVENT
        first = int(fields.get("last-event-id", "0")) + 1
        head = (
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n"
            f"X-Dotterelgrade-Attempt-Id: {request_id}\r\n"
            f"X-Dotterelgrade-Response-Seal: {self.server_id}/{request_id}"
            "\r\n\r\n"
        )
        writer.write(head.encode())
        spoil = self._shall_spoil()
        for number in range(first, last + 1):
            await asyncio.sleep(TOKEN_S)
            if crashes:
                self._crashed.set()
                return
            if spoil and number == first + 3:
                await self._flood(writer, request_id)
                return
            data = f"id: {number}\ndata: {request_id} {number}\n\n".encode()
            writer.write(_chunk(data))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        note("ran", server=self.server_id, id=request_id)

    def _is_bad(self, fields: dict[str, str]) -> bool:
        """Returns whether a request has the part that may crash workers."""
        bad = self._options.bad_part
        listed = fields.get("x-dotterelgrade-prompt-prefix", "").split(",")
        return bool(bad) and bad in [part.split(":")[0] for part in listed]

    def _crashes_under(self, fields: dict[str, str]) -> bool:
        return self._options.active and self._is_bad(fields)

    def _shall_spoil(self) -> bool:
        options = self._options
        if not options.active or not options.every:
            return False
        self._begun += 1
        return self._begun % options.every == options.every // 2

    async def _flood(
        self, writer: asyncio.StreamWriter, request_id: str
    ) -> None:
        """Sends bytes that are no answer until the caller closes."""
        note("flood", server=self.server_id, id=request_id)
        piece = _chunk(b"\n" * FLOOD_PIECE)
        began_at, sent = time.monotonic(), 0
        try:
            while True:
                writer.write(piece)
                await writer.drain()
                sent += len(piece)
                due_at = began_at + sent / FLOOD_BYTES_PER_S
                await asyncio.sleep(max(due_at - time.monotonic(), 0.0))
        finally:
            note(
                "flood_ended",
                server=self.server_id,
                id=request_id,
                sent=sent,
                seconds=round(time.monotonic() - began_at, 2),
            )


def _chunk(data: bytes) -> bytes:
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


async def main() -> None:
    """Serves the workers that the command line names."""
    parser = argparse.ArgumentParser()
    parser.add_argument("workers", nargs="+", help="ID=IP:PORT")
    parser.add_argument("--every", type=int, default=0)
    parser.add_argument("--trickles", type=float, default=0.0)
    parser.add_argument("--bad-part", default="")
    options = parser.parse_args()
    options.active = False

    def set_active(active: bool) -> None:
        options.active = active
        note("trouble", active=active)

    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGUSR1, set_active, True)
    loop.add_signal_handler(signal.SIGUSR2, set_active, False)
    workers = [Worker(*w.split("=", 1), options) for w in options.workers]
    await asyncio.gather(*(worker.serve() for worker in workers))


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
