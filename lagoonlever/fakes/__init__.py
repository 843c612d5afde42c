"""Small stand-ins for an engine, an application service and the platform."""
