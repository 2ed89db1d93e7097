"""Records when faults are active, so that rules with a time bound are checked in calm times only."""

import time


class FaultClock:
    """A fault is active between begin() and end(); a fault at an instant is told by note().

    Each fault counts for the parent, too.
    """

    def __init__(self, parent=None):
        self.parent = parent
        self.active = 0
        self.last_at = 0.0

    def begin(self):
        self.active += 1
        if self.parent:
            self.parent.begin()

    def end(self):
        self.active -= 1
        self.last_at = time.monotonic()
        if self.parent:
            self.parent.end()

    def note(self):
        self.begin()
        self.end()

    def __enter__(self):
        self.begin()

    def __exit__(self, kind, error, trace):
        self.end()

    def calm_seconds(self):
        return 0.0 if self.active else time.monotonic() - self.last_at
