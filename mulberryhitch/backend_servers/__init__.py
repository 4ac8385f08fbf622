"""Backend servers: what they announce, and who may use their slots."""
