"""Orders to engines, and their place in the store."""
