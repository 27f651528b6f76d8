"""Core of the tamarackford load balancer: all decisions, without I/O.

A driver passes events to `reducer.reduce` and carries out the effects that it
returns. No module of this package opens a socket or a file, reads a clock, or
uses a random generator that its caller did not seed.

There are two variants of a deployment. `assembly` builds hosts with a patched
configuration; `cookie_entry` and `document_control` build the entry and control
hosts of the variant with numbered documents and flow cookies.

Public modules: all modules and packages beside `internal`, such as `events`,
`effects`, `reducer`, `messages`, `packets`, `storage`, `requests`,
`external_requests`, `configuration`, `declarations`, `documents`, `peers`,
`refusal`, `verdict`, `failure` and `timeline`.
"""
