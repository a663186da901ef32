"""Clients that send many commands at once and go; one thread each. Prints when each had closed."""

import json
import socket
import sys
import threading
import time

from standin import HOST, query, startup_message, write_text


def skip_welcome(connection):
    data = b""
    while not data.endswith(b"Z\0\0\0\5I"):
        received = connection.recv(4096)
        if not received:
            raise OSError("closed at the start")
        data += received


def main():
    port, first, count, commands, stay = (int(argument) for argument in sys.argv[1:])
    begin = threading.Barrier(count + 1)
    closed = {}

    def one(number):
        try:
            connection = socket.create_connection((HOST, port), 5)
            connection.sendall(startup_message())
            skip_welcome(connection)
            connection.settimeout(20)
            data = b"".join(
                query(write_text(f"gone{number}", b"x" * 100, f"g{number}x{i}", "inspection-filing", 3000, number % 3))
                for i in range(commands)
            )
        except OSError:
            begin.wait()
            return
        begin.wait()
        try:
            connection.sendall(data)
            if stay:
                answers = 0
                tail = b""
                while answers < commands:
                    received = connection.recv(65536)
                    if not received:
                        break
                    joined = tail + received
                    answers += joined.count(b"Z\0\0\0\5I")
                    # Keeps what may be the begin of the next one, and no whole one.
                    tail = joined[-5:]
        except OSError:
            pass
        connection.close()
        closed[number] = time.monotonic()

    threads = [threading.Thread(target=one, args=[n], daemon=True) for n in range(first, first + count)]
    for thread in threads:
        thread.start()
    begin.wait()
    for thread in threads:
        thread.join(25)
    print(json.dumps(closed), flush=True)


main()
