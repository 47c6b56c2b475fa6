# Shared compile options and the two functions that every folder uses.
add_library(bronzehub_options INTERFACE)
target_compile_options(bronzehub_options INTERFACE -Wall -Wextra -Wpedantic
                       -Wshadow -Wnon-virtual-dtor -Werror)
target_include_directories(bronzehub_options INTERFACE ${CMAKE_SOURCE_DIR}/src)
# Asio's configuration must be the same in every source. Left to itself, Asio
# 1.22 chooses its allocation functions by whether a standard header came
# before it, and memory from one choice is freed by the other. The rest repeats
# what RESTinio's package sets for its users.
target_compile_definitions(bronzehub_options INTERFACE
                           ASIO_DISABLE_STD_ALIGNED_ALLOC
                           ASIO_DISABLE_STD_STRING_VIEW ASIO_HAS_STD_CHRONO
                           ASIO_STANDALONE)
if(BRONZEHUB_SANITIZE)
  # g++ 12 reports uninitialised members inside <regex> and fences that the
  # thread sanitizer does not model, both only in instrumented builds.
  target_compile_options(bronzehub_options INTERFACE
                         -fsanitize=${BRONZEHUB_SANITIZE}
                         -fno-omit-frame-pointer
                         -Wno-error=maybe-uninitialized -Wno-error=tsan)
  target_link_options(bronzehub_options INTERFACE
                      -fsanitize=${BRONZEHUB_SANITIZE})
endif()

# bronzehub_library(<name> SOURCES <files> DEPENDS <targets>)
# Declares the static library bronzehub_<name>. Libraries named in DEPENDS are
# the direct dependencies; the graph has no cycles.
function(bronzehub_library name)
  cmake_parse_arguments(arg "" "" "SOURCES;DEPENDS" ${ARGN})
  add_library(bronzehub_${name} STATIC ${arg_SOURCES})
  target_link_libraries(bronzehub_${name} PUBLIC ${arg_DEPENDS}
                        PRIVATE bronzehub_options)
  target_include_directories(bronzehub_${name} PUBLIC ${CMAKE_SOURCE_DIR}/src)
endfunction()

# bronzehub_test(<name> SOURCES <files> DEPENDS <targets>)
# Declares the Catch2 test program <name>, run by CTest from the source root.
function(bronzehub_test name)
  if(NOT BRONZEHUB_TESTS)
    return()
  endif()
  cmake_parse_arguments(arg "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${name} ${arg_SOURCES})
  target_link_libraries(${name} PRIVATE ${arg_DEPENDS} bronzehub_test_main
                        bronzehub_options)
  add_test(NAME ${name}
           COMMAND ${CMAKE_SOURCE_DIR}/scripts/run_test_program.sh
                   $<TARGET_FILE:${name}>
           WORKING_DIRECTORY ${CMAKE_SOURCE_DIR})
  set_tests_properties(${name} PROPERTIES TIMEOUT 120 ENVIRONMENT
                       "RC_PARAMS=seed=20261204")
endfunction()
