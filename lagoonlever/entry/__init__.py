"""The tasks of the entry daemon."""
