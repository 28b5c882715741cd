"""Tests with real processes on loopback; ended only by the ids that the tests started."""
