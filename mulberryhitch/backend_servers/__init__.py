"""Backend servers: their announcements and the ownership of slots."""
