"""The narrow port to the platform's key-value service, and its adapters."""
