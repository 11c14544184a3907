# CMake generated Testfile for 
# Source directory: /tmp/w
# Build directory: /tmp/w/b
# 
# This file includes the relevant testing commands required for 
# testing this directory and lists subdirectories to be tested as well.
subdirs("tests")
