"""Program of a gateway node on the platform."""

from flamingoshelf.platform._main import main

if __name__ == "__main__":
    main()
