"""Jobs of several steps: what they ask for and how far they are."""
