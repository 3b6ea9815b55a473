"""How the daemon reads, learns and changes the operator configuration."""
