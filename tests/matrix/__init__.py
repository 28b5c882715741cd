"""The fault matrix: each fault at each step of each path, checked by one set of invariants."""
