# One line for each library, program and test of a package.
#
# papayastep_library(NAME SOURCES a.cpp.. DEPENDS base ..)   the static library papayastep_NAME
# papayastep_test(NAME SOURCES a_test.cpp.. DEPENDS ..)      a Boost.Test program, registered with ctest
# papayastep_embed(TARGET SYMBOL FILE)                       a data file compiled in as a string_view
# papayastep_fuzzer(NAME SOURCES .. DEPENDS ..)              a libFuzzer target, only under PAPAYASTEP_FUZZ

function(_papayastep_link target)
    foreach(dependency IN LISTS ARGN)
        if(TARGET papayastep_${dependency})
            target_link_libraries(${target} PUBLIC papayastep_${dependency})
        else()
            target_link_libraries(${target} PUBLIC ${dependency})
        endif()
    endforeach()
endfunction()

function(papayastep_library name)
    cmake_parse_arguments(arg "" "" "SOURCES;DEPENDS" ${ARGN})
    add_library(papayastep_${name} STATIC ${arg_SOURCES})
    target_include_directories(papayastep_${name} PUBLIC ${CMAKE_SOURCE_DIR}/src/include)
    _papayastep_link(papayastep_${name} ${arg_DEPENDS})
endfunction()

function(papayastep_test name)
    if(PAPAYASTEP_FUZZ OR NOT PAPAYASTEP_TESTS)
        return()
    endif()
    cmake_parse_arguments(arg "" "" "SOURCES;DEPENDS" ${ARGN})
    add_executable(${name} ${CMAKE_SOURCE_DIR}/src/cmake/testmain.cpp ${arg_SOURCES})
    target_compile_definitions(${name} PRIVATE BOOST_TEST_DYN_LINK PAPAYASTEP_SOURCE_DIR="${CMAKE_SOURCE_DIR}")
    _papayastep_link(${name} ${arg_DEPENDS} Boost::unit_test_framework)
    add_test(NAME ${name} COMMAND ${name})
    set_tests_properties(${name} PROPERTIES TIMEOUT 300 ENVIRONMENT "RC_PARAMS=seed=20261203")
endfunction()

function(papayastep_embed target symbol file)
    get_filename_component(full ${file} ABSOLUTE)
    set_property(DIRECTORY APPEND PROPERTY CMAKE_CONFIGURE_DEPENDS ${full})
    file(READ ${full} PAPAYASTEP_EMBED_TEXT)
    set(PAPAYASTEP_EMBED_SYMBOL ${symbol})
    configure_file(${CMAKE_SOURCE_DIR}/src/cmake/embed.cpp.in ${CMAKE_CURRENT_BINARY_DIR}/embed_${symbol}.cpp @ONLY)
    target_sources(${target} PRIVATE ${CMAKE_CURRENT_BINARY_DIR}/embed_${symbol}.cpp)
endfunction()

function(papayastep_fuzzer name)
    if(NOT PAPAYASTEP_FUZZ)
        return()
    endif()
    cmake_parse_arguments(arg "" "" "SOURCES;DEPENDS" ${ARGN})
    add_executable(${name} ${arg_SOURCES})
    target_link_options(${name} PRIVATE -fsanitize=fuzzer)
    _papayastep_link(${name} ${arg_DEPENDS})
endfunction()
