"""Membership of the entry hosts of one failure domain.

Failure detection follows SWIM: one probe per period, indirect probes,
suspicion with incarnation numbers, and changes piggybacked on the probes. The
traffic of a host does not depend on the number of members.
"""
