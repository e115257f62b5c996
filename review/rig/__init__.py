"""Small stand-ins of clients, runners and the platform for scripts of the review."""
