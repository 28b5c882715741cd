"""Tests with real processes on loopback; each ends only what it started, by id."""
