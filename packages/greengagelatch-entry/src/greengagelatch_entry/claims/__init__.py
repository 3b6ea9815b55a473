"""I/O layer of the claims controller."""
