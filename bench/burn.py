#!/usr/bin/env python3
"""Measures the burn report over a month of one-minute scrapes of 370 nodes: time, memory and error of the result."""

import argparse
import os
import subprocess
import sys

FULL_DAYS, SHORT_DAYS = 30, 3


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--short", action="store_true")
    arguments = parser.parse_args()
    days = SHORT_DAYS if arguments.short else FULL_DAYS
    return subprocess.run([os.path.join(arguments.build, "bench-burn"), str(days)], check=False).returncode


if __name__ == "__main__":
    sys.exit(main())
