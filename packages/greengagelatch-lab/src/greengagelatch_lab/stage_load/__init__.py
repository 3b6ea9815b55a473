"""Load trials of stage execution in virtual time, with the real scheduling code."""
