"""A UDP receiver in place of statsd."""

import socket
import threading
import time


class StatsdSink:
    """Records each datagram with its time of arrival."""

    def __init__(self, host: str) -> None:
        self.socket = socket.socket(type=socket.SOCK_DGRAM)
        self.socket.bind((host, 0))
        self.socket.settimeout(0.2)
        self.datagrams: list[tuple[float, str]] = []
        self.is_open = True
        self.thread = threading.Thread(target=self.receive, daemon=True)
        self.thread.start()

    def receive(self) -> None:
        while self.is_open:
            try:
                self.datagrams.append((time.monotonic(), self.socket.recv(65536).decode()))
            except TimeoutError:
                continue

    def stop(self) -> None:
        self.is_open = False
        self.thread.join()
        self.socket.close()
