# Functions to define targets, shared by all directories.

find_program(GQ_CCACHE ccache)
if(GQ_CCACHE)
    set(CMAKE_CXX_COMPILER_LAUNCHER
        ${CMAKE_COMMAND} -E env
        CCACHE_BASEDIR=${CMAKE_SOURCE_DIR}
        CCACHE_NOHASHDIR=1
        CCACHE_SLOPPINESS=pch_defines,time_macros,include_file_mtime,include_file_ctime
        ${GQ_CCACHE})
endif()

add_library(GqOptions INTERFACE)
target_compile_options(GqOptions INTERFACE -Wall -Wextra -Wpedantic -Wshadow -Wnon-virtual-dtor)
if(GQ_WARNINGS_AS_ERRORS)
    target_compile_options(GqOptions INTERFACE -Werror)
endif()
if(GQ_SANITIZE)
    add_compile_options(-fsanitize=${GQ_SANITIZE} -fno-omit-frame-pointer -fno-sanitize-recover=all -g1)
    add_link_options(-fsanitize=${GQ_SANITIZE})
    # With sanitizers, gcc 12 reports false uninitialized variables in libstdc++'s <regex>.
    target_compile_options(GqOptions INTERFACE $<$<CXX_COMPILER_ID:GNU>:-Wno-maybe-uninitialized>)
endif()

# gq_add_library(NAME SOURCES ... DEPENDS ... PRIVATE_DEPENDS ...): adds a static library.
function(gq_add_library name)
    cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS;PRIVATE_DEPENDS" ${ARGN})
    add_library(${name} STATIC ${ARG_SOURCES})
    target_include_directories(${name} PUBLIC "${CMAKE_SOURCE_DIR}/src/libs")
    target_link_libraries(${name} PUBLIC ${ARG_DEPENDS} PRIVATE GqOptions ${ARG_PRIVATE_DEPENDS})
endfunction()

# gq_add_executable(NAME SOURCES ... DEPENDS ...): adds a program.
function(gq_add_executable name)
    cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
    add_executable(${name} ${ARG_SOURCES})
    target_link_libraries(${name} PRIVATE GqOptions ${ARG_DEPENDS})
endfunction()

# gq_add_test(NAME SOURCES ... DEPENDS ... LABELS ...): adds a Catch2 program that is run by ctest.
function(gq_add_test name)
    cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS;LABELS" ${ARGN})
    gq_add_executable(${name} SOURCES ${ARG_SOURCES} DEPENDS GqTestMain ${ARG_DEPENDS})
    target_precompile_headers(${name} REUSE_FROM GqTestMain)
    add_test(NAME ${name} COMMAND ${name})
    set_tests_properties(${name} PROPERTIES TIMEOUT 1200 LABELS "${ARG_LABELS}")
endfunction()
