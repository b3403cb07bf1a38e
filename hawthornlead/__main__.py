"""Run the command line by ``python -m hawthornlead``, also inside the one binary."""

from .main import main

if __name__ == "__main__":
    main()
