"""Child processes that are always ended by their id, also when the parent process dies."""
import ctypes
import os
import signal
import subprocess
import time

PR_SET_PDEATHSIG = 1
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
_libc = ctypes.CDLL(None)


def _end_with_parent():
    _libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class Process:
    """One child process. Its output is written to a log file."""

    def __init__(self, name, arguments, log_path):
        self.name = name
        self.arguments = [str(argument) for argument in arguments]
        self.log_path = log_path
        self._child = None
        self.start()

    def start(self):
        """Starts the process, or restarts it after its end. Output is appended to the log file."""
        self._asked_to_end = False
        with open(self.log_path, "ab") as log:
            self._child = subprocess.Popen(self.arguments, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                                           preexec_fn=_end_with_parent)

    @property
    def pid(self):
        return self._child.pid

    def is_running(self):
        return self._child.poll() is None

    def has_crashed(self):
        """Returns whether the process ended without a call of terminate(), kill() or stop()."""
        return not self.is_running() and not self._asked_to_end

    def wait(self, seconds):
        """Waits for the end and returns the exit status. Raises subprocess.TimeoutExpired."""
        return self._child.wait(seconds)

    def pause(self):
        self._child.send_signal(signal.SIGSTOP)

    def resume(self):
        self._child.send_signal(signal.SIGCONT)

    def send(self, number):
        self._child.send_signal(number)

    def was_asked_to_end(self):
        return self._asked_to_end

    def terminate(self):
        self._asked_to_end = True
        self._child.send_signal(signal.SIGTERM)

    def kill(self):
        """Ends the process immediately with SIGKILL, as a crash does."""
        self._asked_to_end = True
        self._child.kill()
        self._child.wait()

    def stop(self, seconds=10):
        """Sends SIGTERM, then SIGKILL if the process still runs after `seconds`. Returns whether SIGTERM was enough."""
        if not self.is_running():
            return True
        self.resume()
        self.terminate()
        try:
            self.wait(seconds)
            return True
        except subprocess.TimeoutExpired:
            self.kill()
            return False

    def cpu_seconds(self):
        """Returns the user and system time used so far."""
        fields = self._stat()
        return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS

    def resident_bytes(self):
        return int(self._stat()[21]) * PAGE_BYTES

    def log(self):
        with open(self.log_path, encoding="utf-8", errors="replace") as log:
            return log.read()

    def _stat(self):
        with open(f"/proc/{self.pid}/stat", encoding="ascii", errors="replace") as stat:
            return stat.read().rsplit(")", 1)[1].split()


def wait_until(condition, seconds, what):
    """Polls `condition` and returns its first true value. Raises TimeoutError naming `what`."""
    end = time.monotonic() + seconds
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > end:
            raise TimeoutError(f"waited {seconds} s for {what}")
        time.sleep(0.02)
