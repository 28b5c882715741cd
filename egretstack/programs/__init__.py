"""The command-line programs: thin command functions over the library."""
