"""The services of the programs, one a module; the kernel finds each by its module's name."""
