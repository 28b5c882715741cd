"""The services of the programs, one per module; the kernel finds each by its module's name."""
