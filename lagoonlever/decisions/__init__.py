"""Pure state machines: messages and a time in, messages and decisions out."""
