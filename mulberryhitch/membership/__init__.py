"""Who of our own processes is alive, and what each tells the others."""
