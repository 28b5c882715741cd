"""A randomized soak test: entries as real processes, faults injected from outside, and checks of
what the system promises to its clients and runners.

python -m tests.soak --seeds 50 --seconds 20
"""
