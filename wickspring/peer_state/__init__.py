"""State that ingresses share: rights to bounded quantities, counts, judgements. No I/O and no clock."""
