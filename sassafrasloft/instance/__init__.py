"""An instance that shares runners with others by one scheduler at a time."""
