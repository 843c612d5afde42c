"""A service's new version: its share, the evidence, the verdict."""
