"""The simulator's wire: text in, text out. No decision is taken here."""
