"""A randomized soak: real entries as processes, faults from outside, promises checked throughout.

python -m tests.soak --seeds 50 --seconds 20
"""
