"""An instance: one of several that share runners through a single scheduler."""
