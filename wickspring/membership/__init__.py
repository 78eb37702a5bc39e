"""Words of many members, spread by push and pull; who is a member, well or gone. No I/O and no clock."""
