"""A UDP port in place of statsd."""

import socket
import threading
import time


class Sink:
    """Keeps each datagram with the time of its arrival."""

    def __init__(self, host: str) -> None:
        self.socket = socket.socket(type=socket.SOCK_DGRAM)
        self.socket.bind((host, 0))
        self.socket.settimeout(0.2)
        self.taken: list[tuple[float, str]] = []
        self.open = True
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self) -> None:
        while self.open:
            try:
                self.taken.append((time.monotonic(), self.socket.recv(65536).decode()))
            except TimeoutError:
                continue

    def stop(self) -> None:
        self.open = False
        self.thread.join()
        self.socket.close()
