from mesh.cli.command import app

if __name__ == "__main__":
    app(prog_name="python -m mesh.cli")
