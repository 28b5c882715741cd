"""Small stand-ins for the external systems: engines, plain services and the platform.

Each runs inside a test on trio's mock clock or as a process on loopback (`python -m standins`).
The package is not part of the wheel.
"""
