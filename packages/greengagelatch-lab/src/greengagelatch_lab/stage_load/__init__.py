"""Stage work under load: the real decisions and queues in virtual time."""
