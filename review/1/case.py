"""An unframed answer whose connection falls silent is passed on as whole.

A worker answers a long request before it has read its body, without a length
or chunks, as the pages allow. Its connection to the front falls silent for good
when the first half of the answer has passed. The kernel of the front's machine
gives the connection up after `TCP_USER_TIMEOUT`.
"""

import http.client
import socket
import threading
import time
import uuid

import deployment
import plain_servers

_REQUESTS = 3
_BODY_BYTES = 1_000_000
_FIRST_HALF = b'{"order": "board-17", "lines": ['
_SECOND_HALF = b'"jacaranda", "pau-marfim"], "total": 150}'
_WHOLE = _FIRST_HALF + _SECOND_HALF
_WORK_S = 0.3
_DEADLINE_S = 12.0
_RECEIVE_BYTES = 65_536
_WORKER_HOST = 100
_LINK_HOST = 101


class EarlyWorker:
    """Answers before it has read the body, then reads on and ends."""

    def __init__(self, host: str, record: deployment.Record) -> None:
        """Starts to listen on a host."""
        self._record = record
        self._listener = socket.create_server((host, 0))
        self.address = self._listener.getsockname()
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            sock, _ = self._listener.accept()
            threading.Thread(target=self._serve, args=(sock,)).start()

    def _serve(self, sock: socket.socket) -> None:
        with sock:
            try:
                head, body = plain_servers.read_until(
                    sock, plain_servers.HEAD_END
                )
                self._answer(sock, head, len(body))
            except OSError as error:
                self._record.write(f"worker: connection failed: {error}")

    def _answer(self, sock: socket.socket, head: bytes, received: int) -> None:
        first, headers = plain_servers.parse_head(head)
        request_id = headers["x-dotterelgrade-attempt-id"]
        self._record.write(f"worker: runs {request_id}: {first}")
        sock.sendall(
            b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
            b"X-Dotterelgrade-Attempt-Id: %s\r\n"
            b"X-Dotterelgrade-Response-Seal: seal-of-%s\r\n"
            b"Connection: close\r\n\r\n%s"
            % (request_id.encode(), request_id.encode(), _FIRST_HALF)
        )
        length = int(headers["content-length"])
        while received < length:
            piece = sock.recv(_RECEIVE_BYTES)
            if not piece:
                self._record.write(f"worker: {request_id} was cut off")
                return
            received += len(piece)
        time.sleep(_WORK_S)
        sock.sendall(_SECOND_HALF)
        self._record.write(f"worker: {request_id} answered whole")


class Link:
    """The way from the front to the worker; connections may fall silent."""

    def __init__(
        self,
        host: str,
        target: tuple[str, int],
        *,
        silences: bool,
        record: deployment.Record,
    ) -> None:
        """Starts to listen on a host."""
        self._target = target
        self._silences = silences
        self._record = record
        self._listener = socket.create_server((host, 0))
        name, port = self._listener.getsockname()
        self.address = f"{name}:{port}"
        # Keeps the sockets of silent connections open.
        self._silent: list[tuple[socket.socket, socket.socket]] = []
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            near, _ = self._listener.accept()
            threading.Thread(target=self._relay, args=(near,)).start()

    def _relay(self, near: socket.socket) -> None:
        far = socket.create_connection(self._target)
        far.sendall(near.recv(_RECEIVE_BYTES))
        near.sendall(far.recv(_RECEIVE_BYTES))
        if self._silences:
            self._silent.append((near, far))
            self._record.write("link: a connection falls silent")
            return
        forward = threading.Thread(target=_pump, args=(near, far))
        forward.start()
        _pump(far, near)
        forward.join()
        near.close()
        far.close()


def _pump(source: socket.socket, sink: socket.socket) -> None:
    try:
        while piece := source.recv(_RECEIVE_BYTES):
            sink.sendall(piece)
        sink.shutdown(socket.SHUT_WR)
    except OSError:
        pass


def _ask(front: deployment.Front, record: deployment.Record) -> str:
    """Sends a request; returns what is wrong with its answer, or empty."""
    request_id = uuid.uuid4().hex[:16]
    client = http.client.HTTPConnection(
        front.ip, front.port, timeout=_DEADLINE_S + 2
    )
    record.write(f"client: sends {request_id}, {_BODY_BYTES} bytes")
    try:
        client.request(
            "POST",
            "/orders/import",
            body=b"x" * _BODY_BYTES,
            headers={
                "Host": deployment.HOST,
                "Authorization": f"Bearer {deployment.KEY}",
                "X-Dotterelgrade-Attempt-Id": request_id,
                "X-Dotterelgrade-Deadline-Ms": str(int(_DEADLINE_S * 1000)),
            },
        )
        response = client.getresponse()
        body = response.read()
    except (OSError, http.client.HTTPException) as error:
        record.write(f"client: {request_id} failed: {error!r}")
        return ""
    finally:
        client.close()
    headers = dict(response.getheaders())
    record.write(f"client: {request_id} {response.status} {headers} {body!r}")
    if response.status == http.HTTPStatus.OK and body != _WHOLE:
        return (
            f"MIXED: {request_id} got a 200 with the worker's seal and "
            f"{len(body)} of the {len(_WHOLE)} bytes of its body"
        )
    return ""


def _case(record: deployment.Record, trouble: bool) -> list[str]:
    with deployment.running(record, fronts=1) as made:
        worker = EarlyWorker(made.host(_WORKER_HOST), record)
        link = Link(
            made.host(_LINK_HOST),
            worker.address,
            silences=trouble,
            record=record,
        )
        made.write_configuration(
            [plain_servers.route("orders", "order-app", "unsafe")],
            [plain_servers.service("order-app")],
        )
        made.write_server(
            "i-order-1", plain_servers.entry("order-app", link.address)
        )
        (front,) = made.fronts
        front.start()
        made.wait_until_ready()
        faults = [_ask(front, record) for _ in range(_REQUESTS)]
        return [fault for fault in faults if fault]


if __name__ == "__main__":
    deployment.run(_case, __file__)
