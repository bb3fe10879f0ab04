from cherrydoor.cli import main

main()
