"""A small valid base file that tests modify."""

BASE = """\
service: markhost
region: mn-central
zones: [north, south]
platform:
  address: 127.0.0.1:7100
  lease_ms: 10001
instances:
  north-1:
    zone: north
    callers_address: 127.0.1.1:7200
    peers_address: 127.0.1.1:7300
    operators_address: 127.0.1.1:7400
runners:
  paint:
    zone: north
    count: 4
    rack_size: 2
    address: 127.0.2.{n}:7500
  spare:
    zone: south
    address: 127.0.3.1:7500
    slots: 4
teams:
  crews:
    max_running: 20
"""
