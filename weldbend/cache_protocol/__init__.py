"""The line protocol of caches: encoding of commands and parsing of answers, without I/O."""
