"""Work in hand that outlives its gateway: told to witnesses, taken over once, its answers claimed."""
