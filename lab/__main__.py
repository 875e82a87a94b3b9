from lab.command import main

main()
