"""Membership of the entry hosts inside one failure domain.

Failure detection after SWIM: one probe a period, indirect probes, suspicion
with incarnation numbers, and changes that ride on the probes. The traffic of
a host does not depend on the number of members.
"""
