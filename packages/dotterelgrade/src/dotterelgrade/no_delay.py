"""A WSGI handler whose answers are not held back by Nagle's algorithm."""

import socket

from gevent import pywsgi


class NoDelayHandler(pywsgi.WSGIHandler):
    """Handles a connection with TCP_NODELAY set.

    An answer leaves in two writes, the headers and the body. Nagle's algorithm
    would hold the second back until the delayed acknowledgement of the first.
    """

    def handle(self) -> None:
        """Handles the connection until it ends."""
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().handle()
