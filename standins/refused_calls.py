"""Runs a program of this project while the kernel refuses some of its calls.

Usage: ``python -m standins.refused_calls REFUSAL[,REFUSAL...] PROGRAM [ARGUMENT...]``

PROGRAM is a Python file or the name of a module. Refusals:

``filter``
    A socket filter cannot be attached to a listening socket: one that passes everything
    is locked (SO_LOCK_FILTER), so the kernel itself refuses another one with EPERM.
``accept=N``
    Each Nth call to accept a connection fails; the next one accepts it.
``accept-empty``
    A call to accept a connection fails if none is waiting.
``listen=N``
    The Nth call to listen fails.
``close-listener``, ``receive-shutdown``
    A listening socket cannot be closed; the receiving side of a connection cannot be
    shut down.
``memory``
    The file with this process's memory usage cannot be opened.
``output``
    Standard output is closed, so that no line of the log can be written.
``system-error``
    No refused call: on SIGUSR2 a greenlet raises SystemError, which gevent raises again
    in the main greenlet.
the name of a socket option, such as ``TCP_NODELAY``
    The option cannot be set.
"""

import builtins
import errno
import os
import runpy
import signal
import socket
import struct
import sys

import gevent
from gevent import _socket3

__all__ = ["refuse_calls"]

SO_ATTACH_FILTER, SO_LOCK_FILTER = 26, 44
PASS_ALL = struct.pack("HBBI", 0x06, 0, 0, 0xFFFFFFFF)
MEMORY_FILE = "/proc/self/statm"

# All sockets of gevent are of this class or hold one of it.
_Socket = _socket3._wrefsocket


def refuse_calls(refusals):
    """Have this process's calls refused from now on.

    Parameters
    ----------
    refusals : list of str
        As on the command line.
    """
    for refusal in refusals:
        name, _, number = refusal.partition("=")
        if name == "filter":
            _lock_filter()
        elif name == "accept":
            _refuse_each_accept(int(number))
        elif name == "accept-empty":
            _refuse_empty_accept()
        elif name == "listen":
            _refuse_one_listen(int(number))
        elif name == "close-listener":
            _refuse_closing_listeners()
        elif name == "receive-shutdown":
            _refuse_method("shutdown", lambda how: how == socket.SHUT_RD)
        elif name == "memory":
            _refuse_memory_file()
        elif name == "output":
            os.close(sys.stdout.fileno())
        elif name == "system-error":
            gevent.signal_handler(signal.SIGUSR2, _raise_system_error)
        else:
            option = getattr(socket, name)
            _refuse_method("setsockopt", lambda level, found, *_, o=option: found == o)


def _refused():
    return OSError(errno.EPERM, os.strerror(errno.EPERM))


def _refuse_method(name, is_refused):
    """Make calls of a socket's method fail for which ``is_refused(*args)`` is true."""
    call = getattr(_Socket, name)

    def refusing(self, *args):
        if is_refused(*args):
            raise _refused()
        return call(self, *args)

    setattr(_Socket, name, refusing)


def _lock_filter():
    listen = _Socket.listen

    def listen_and_lock(self, *args):
        import ctypes

        program = ctypes.create_string_buffer(PASS_ALL, len(PASS_ALL))
        pointer = struct.pack("HP", 1, ctypes.addressof(program))
        self.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, pointer)
        self.setsockopt(socket.SOL_SOCKET, SO_LOCK_FILTER, 1)
        return listen(self, *args)

    _Socket.listen = listen_and_lock


def _refuse_each_accept(every):
    accept, n_calls = _Socket._accept, 0

    def refusing(self):
        nonlocal n_calls
        n_calls += 1
        if n_calls % every == 0:
            raise _refused()
        return accept(self)

    _Socket._accept = refusing


def _refuse_one_listen(number):
    n_calls = 0

    def is_refused(*args):
        nonlocal n_calls
        n_calls += 1
        return n_calls == number

    _refuse_method("listen", is_refused)


def _refuse_empty_accept():
    accept = _Socket._accept

    def refusing(self):
        try:
            return accept(self)
        except BlockingIOError:
            raise _refused() from None

    _Socket._accept = refusing


def _raise_system_error():
    raise SystemError("injected")


def _refuse_closing_listeners():
    close = _Socket.close

    def refusing(self):
        if self.fileno() >= 0 and self.getsockopt(
            socket.SOL_SOCKET, socket.SO_ACCEPTCONN
        ):
            raise _refused()
        close(self)

    _Socket.close = refusing


def _refuse_memory_file():
    original = builtins.open

    def refusing(file, *args, **kwargs):
        if file == MEMORY_FILE:
            raise _refused()
        return original(file, *args, **kwargs)

    builtins.open = refusing


def main(argv):
    """Run a program with refused calls."""
    refusals, program, *arguments = argv
    sys.argv = [program, *arguments]
    refuse_calls(refusals.split(","))
    if program.endswith(".py"):
        sys.path.insert(0, os.path.dirname(os.path.abspath(program)))
        runpy.run_path(program, run_name="__main__")
    else:
        runpy.run_module(program, run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main(sys.argv[1:])
