"""A dispatcher for jobs of sub-second tasks."""
