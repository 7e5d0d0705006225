"""A SIGTERM that the kernel delivers to another thread than the main one."""

import subprocess
import sys

STOP_SECONDS = 10.0

# The daemon's other parts are left out: only its wait for the signal is tested.
PROGRAM = """
import signal, threading, time
from geraniumshored.internal.daemon import Daemon

class WaitingOnly(Daemon):
    def __init__(self):
        self._evicted = False
    def _start(self):
        threading.Thread(target=send_to_this_thread).start()
    def _shut_down(self):
        pass

def send_to_this_thread():
    time.sleep(0.3)
    signal.pthread_kill(threading.get_ident(), signal.SIGTERM)
    time.sleep(0.3)

stop_requested = threading.Event()
signal.signal(signal.SIGTERM, lambda *_: stop_requested.set())
raise SystemExit(WaitingOnly().run(stop_requested))
"""


def test_a_signal_to_another_thread_stops_the_daemon():
    ended = subprocess.run([sys.executable, "-c", PROGRAM], timeout=STOP_SECONDS)
    assert ended.returncode == 0
