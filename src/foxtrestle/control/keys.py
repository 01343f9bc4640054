"""Keys under which foxtrestle keeps what must last."""

from __future__ import annotations

from typing import Final

ROOT: Final = "foxtrestle/"
"""Prefix of everything."""
LOCK: Final = ROOT + "control/lock"
"""The controller, under its lease."""
TERM: Final = ROOT + "control/term"
"""Number of the newest term, which stays when the lock goes."""
PENDING: Final = ROOT + "control/pending"
"""Jobs of each queue that have not begun."""
HOST_ORDERS: Final = ROOT + "control/hosts"
"""Hosts that the controller has ordered in the last seconds."""
LEARNED: Final = ROOT + "control/learned"
"""What the controller has learned about load."""
WAVE_RECORDS: Final = ROOT + "control/wave/"
"""Prefix of the progress of maintenance waves."""
INBOX: Final = ROOT + "inbox/"
"""Prefix of what nodes tell the controller."""
JOBS: Final = INBOX + "job/"
"""Prefix of accepted jobs."""
CANCELS: Final = INBOX + "cancel/"
"""Prefix of cancellations."""
PROGRESS: Final = ROOT + "progress/"
"""Prefix of the progress of jobs that have not ended; with the inbox, all that a new controller
has to read."""
ENDED: Final = ROOT + "ended/"
"""Prefix of the final states of ended jobs, kept for clients that ask."""
