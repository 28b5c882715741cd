"""Small stand-ins for what is outside: engines, plain services and the platform.

Each runs inside a test on trio's mock clock and as a process on loopback
(`python -m standins`). The wheel leaves this package out.
"""
