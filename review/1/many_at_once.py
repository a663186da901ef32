"""Clients that send many filings at once, at full speed, and read what they are sent. One thread each."""

import os
import socket
import struct
import sys
import threading

sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(os.path.abspath(__file__))), "lib"))
from standins import query, startup, write_statement  # noqa: E402

VALUE = b"ab" * 65_536  # 64 KiB in hex, the longest value that the protocol page allows
START_TIMEOUT_S = 5


def skip_messages_until_ready(connection):
    buffer = b""
    while True:
        while len(buffer) < 5 or len(buffer) < 1 + struct.unpack("!i", buffer[1:5])[0]:
            received = connection.recv(4_096)
            if not received:
                raise ConnectionError("closed at the start")
            buffer += received
        size = 1 + struct.unpack("!i", buffer[1:5])[0]
        if buffer[:1] == b"Z":
            return
        buffer = buffer[size:]


def read_everything(connection):
    try:
        while connection.recv(65_536):
            pass
    except OSError:
        pass


def send_filing(connection, number, command):
    """Sends one command without a copy of its value, so that the client is not what limits the speed."""
    fields = f"id=m{number}x{command},c=inspection-filing,t=acme,d=3000,cluster=1"
    empty = query(write_statement(f"many{number}", "", fields))
    split = empty.index(b"\\x") + 2
    head = empty[:1] + struct.pack("!i", len(empty) - 1 + len(VALUE)) + empty[5:split]
    parts = [head, VALUE, empty[split:]]
    sent = connection.sendmsg(parts)
    if sent < sum(len(part) for part in parts):
        connection.sendall(b"".join(parts)[sent:])


def send(port, number, commands, begin):
    try:
        with socket.create_connection(("127.0.0.1", port), START_TIMEOUT_S) as connection:
            connection.sendall(startup())
            skip_messages_until_ready(connection)
            connection.settimeout(None)
            reader = threading.Thread(target=read_everything, args=[connection], daemon=True)
            reader.start()
            begin.wait()
            for command in range(commands):
                send_filing(connection, number, command)
            reader.join()
    except OSError:
        pass


def main():
    port, first, count, commands = (int(argument) for argument in sys.argv[1:])
    begin = threading.Barrier(count + 1)
    for number in range(first, first + count):
        threading.Thread(target=send, args=[port, number, commands, begin], daemon=True).start()
    print("connected", flush=True) if wait(begin) else print("not connected", flush=True)
    sys.stdin.read()  # until the case ends this process


def wait(begin):
    try:
        begin.wait(START_TIMEOUT_S)
        return True
    except threading.BrokenBarrierError:
        return False


if __name__ == "__main__":
    main()
