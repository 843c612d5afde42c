"""The list of targets, and what each says of itself."""
