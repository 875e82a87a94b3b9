from waterworks.operate.command import app

if __name__ == "__main__":
    app(prog_name="python -m waterworks.operate")
