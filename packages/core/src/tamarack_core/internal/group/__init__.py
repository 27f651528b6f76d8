"""Discovery, membership and repair of the group of control hosts."""
