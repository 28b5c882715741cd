"""The programs: thin command functions over the library."""
