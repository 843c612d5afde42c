"""Selection of a target for each generation, by cached prefix and load."""
