# CMake generated Testfile for 
# Source directory: /tmp/w/tests
# Build directory: /tmp/w/b/tests
# 
# This file includes the relevant testing commands required for 
# testing this directory and lists subdirectories to be tested as well.
add_test([=[protocol]=] "/tmp/w/b/test_protocol")
set_tests_properties([=[protocol]=] PROPERTIES  _BACKTRACE_TRIPLES "/tmp/w/tests/CMakeLists.txt;12;add_test;/tmp/w/tests/CMakeLists.txt;0;")
add_test([=[policy]=] "/tmp/w/b/test_policy")
set_tests_properties([=[policy]=] PROPERTIES  _BACKTRACE_TRIPLES "/tmp/w/tests/CMakeLists.txt;12;add_test;/tmp/w/tests/CMakeLists.txt;0;")
add_test([=[record]=] "/tmp/w/b/test_record")
set_tests_properties([=[record]=] PROPERTIES  _BACKTRACE_TRIPLES "/tmp/w/tests/CMakeLists.txt;12;add_test;/tmp/w/tests/CMakeLists.txt;0;")
add_test([=[sim_quiet]=] "/tmp/w/b/test_sim" "quiet")
set_tests_properties([=[sim_quiet]=] PROPERTIES  ENVIRONMENT "ASAN_OPTIONS=detect_leaks=0" TIMEOUT "900" _BACKTRACE_TRIPLES "/tmp/w/tests/CMakeLists.txt;16;add_test;/tmp/w/tests/CMakeLists.txt;0;")
add_test([=[sim_one]=] "/tmp/w/b/test_sim" "one")
set_tests_properties([=[sim_one]=] PROPERTIES  ENVIRONMENT "ASAN_OPTIONS=detect_leaks=0" TIMEOUT "900" _BACKTRACE_TRIPLES "/tmp/w/tests/CMakeLists.txt;16;add_test;/tmp/w/tests/CMakeLists.txt;0;")
add_test([=[sim_many]=] "/tmp/w/b/test_sim" "many")
set_tests_properties([=[sim_many]=] PROPERTIES  ENVIRONMENT "ASAN_OPTIONS=detect_leaks=0" TIMEOUT "900" _BACKTRACE_TRIPLES "/tmp/w/tests/CMakeLists.txt;16;add_test;/tmp/w/tests/CMakeLists.txt;0;")
add_test([=[sim_limit]=] "/tmp/w/b/test_sim" "limit")
set_tests_properties([=[sim_limit]=] PROPERTIES  ENVIRONMENT "ASAN_OPTIONS=detect_leaks=0" TIMEOUT "900" _BACKTRACE_TRIPLES "/tmp/w/tests/CMakeLists.txt;16;add_test;/tmp/w/tests/CMakeLists.txt;0;")
add_test([=[sim_parts]=] "/tmp/w/b/test_sim" "parts")
set_tests_properties([=[sim_parts]=] PROPERTIES  ENVIRONMENT "ASAN_OPTIONS=detect_leaks=0" TIMEOUT "900" _BACKTRACE_TRIPLES "/tmp/w/tests/CMakeLists.txt;16;add_test;/tmp/w/tests/CMakeLists.txt;0;")
add_test([=[sim_copies]=] "/tmp/w/b/test_sim" "copies")
set_tests_properties([=[sim_copies]=] PROPERTIES  ENVIRONMENT "ASAN_OPTIONS=detect_leaks=0" TIMEOUT "900" _BACKTRACE_TRIPLES "/tmp/w/tests/CMakeLists.txt;16;add_test;/tmp/w/tests/CMakeLists.txt;0;")
add_test([=[command_line]=] "/tmp/w/tests/command_line.sh" "/tmp/w/b/hoprockd" "/tmp/w/deploy/policy.hop")
set_tests_properties([=[command_line]=] PROPERTIES  _BACKTRACE_TRIPLES "/tmp/w/tests/CMakeLists.txt;20;add_test;/tmp/w/tests/CMakeLists.txt;0;")
