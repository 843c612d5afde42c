"""Who alone may run a call that must not run twice."""
