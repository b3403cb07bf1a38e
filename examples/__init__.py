"""Small programs that show how to embed the parts."""
