"""Tests with real processes on loopback; each ends only the processes it started, by id."""
