# Compiler flags, sanitizers and the compiler cache, the same for every package.
set(CMAKE_CXX_STANDARD 20)
set(CMAKE_CXX_STANDARD_REQUIRED ON)
set(CMAKE_CXX_EXTENSIONS OFF)
set(CMAKE_EXPORT_COMPILE_COMMANDS ON)

set(PAPAYASTEP_SANITIZE "" CACHE STRING "Value for -fsanitize=, empty for none")
option(PAPAYASTEP_TESTS "Build the tests and what only they need" ON)
option(PAPAYASTEP_FUZZ "Build the libFuzzer targets (needs clang++)" OFF)

find_program(PAPAYASTEP_CCACHE ccache)
if(PAPAYASTEP_CCACHE)
    # Without the folder in the hash, the builds for tests and for deployment share what they have in common.
    set(CMAKE_CXX_COMPILER_LAUNCHER ${CMAKE_COMMAND} -E env CCACHE_NOHASHDIR=1 ${PAPAYASTEP_CCACHE})
endif()

add_compile_options(-Wall -Wextra -Wpedantic -Werror -Wno-psabi)
if(CMAKE_CXX_COMPILER_ID STREQUAL "GNU")
    # GCC 12 reports false positives inside the standard library and Beast at -O2.
    add_compile_options(-Wno-maybe-uninitialized -Wno-restrict -Wno-array-bounds -Wno-stringop-overflow -Wno-stringop-overread -Wno-mismatched-new-delete)
endif()

if(PAPAYASTEP_SANITIZE)
    add_compile_options(-fsanitize=${PAPAYASTEP_SANITIZE} -fno-omit-frame-pointer -fno-sanitize-recover=all)
    add_link_options(-fsanitize=${PAPAYASTEP_SANITIZE})
endif()
if(PAPAYASTEP_FUZZ)
    add_compile_options(-fsanitize=fuzzer-no-link,address,undefined -fno-omit-frame-pointer -fno-sanitize-recover=all)
    add_link_options(-fsanitize=address,undefined)
endif()
