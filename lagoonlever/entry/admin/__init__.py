"""The administration interface: its routes, messages and reports."""
