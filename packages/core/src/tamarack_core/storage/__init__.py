"""Forms of the files in the data folder, without access to files."""
