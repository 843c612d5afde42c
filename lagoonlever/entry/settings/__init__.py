"""The settings tree in force: watched, told by peers, stored."""
