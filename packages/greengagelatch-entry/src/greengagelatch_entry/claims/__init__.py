"""Parts of the claims controller that do input and output."""
