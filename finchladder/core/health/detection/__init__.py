"""Which real servers are bad, by what one dispatcher sees and others tell. Loaded where [judgement] is on."""
