"""What every command line of the project shares: running a command by its words, its errors, its output."""
