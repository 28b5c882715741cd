"""Tests of egretstack; `python -m tests` runs them all."""
