"""Runs the entry process with `python -m sassafrasloft.entry`."""

from sassafrasloft.entry.program import run

if __name__ == "__main__":
    run()
