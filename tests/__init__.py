"""Tests of egretstack; `python -m tests` runs them all.

No result depends on how long a step takes.
"""

from hypothesis import settings

# By default a Hypothesis example that takes over 0.2 s fails, which happens on a busy machine.
settings.register_profile("untimed", deadline=None)
settings.load_profile("untimed")
