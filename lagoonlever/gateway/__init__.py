"""The gateway: forwards requests whose answers it does not interpret, and resumes streams.

It shares the decisions, the HTTP sides, the bus between VMs and the logs with the entry
daemon; what differs is that an answer is bytes of a target, with a position in them.
"""
