"""Orders sent to engines under a lease, and edits of the wanted engine states."""
