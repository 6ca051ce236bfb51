"""Pure decisions: frozen values and a time in, typed actions out."""
