# Adds library NAME from src/NAME, or from DIRECTORY, and its test program from tests/NAME; the other
# arguments are the libraries that it links. Sources are globbed, so that new files need no change
# here.
function(dragonflysill_library name)
    cmake_parse_arguments(PARSE_ARGV 1 arg "" "DIRECTORY" "")
    if(NOT arg_DIRECTORY)
        set(arg_DIRECTORY src/${name})
    endif()
    file(GLOB sources CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/${arg_DIRECTORY}/*.cpp)
    if(sources)
        add_library(${name} STATIC ${sources})
        target_include_directories(${name} PUBLIC ${PROJECT_SOURCE_DIR}/include)
        target_include_directories(${name} PRIVATE ${PROJECT_SOURCE_DIR}/${arg_DIRECTORY})
        target_link_libraries(${name} PUBLIC ${arg_UNPARSED_ARGUMENTS} Threads::Threads)
    else()
        add_library(${name} INTERFACE)
        target_include_directories(${name} INTERFACE ${PROJECT_SOURCE_DIR}/include)
        target_link_libraries(${name} INTERFACE ${arg_UNPARSED_ARGUMENTS} Threads::Threads)
    endif()
    dragonflysill_test(${name} LIBRARIES ${name} standin)
endfunction()

# Adds the Boost.Test program of library or program NAME from tests/NAME and any further sources.
# Cases that KNOWN-RED.txt lists as "test: NAME SUITE/CASE" are skipped and printed by
# scripts/test.sh.
function(dragonflysill_test name)
    cmake_parse_arguments(arg "" "" "SOURCES;LIBRARIES" ${ARGN})
    file(GLOB sources CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/tests/${name}/*.cpp)
    if(NOT sources OR DRAGONFLYSILL_NODE_ONLY)
        return()
    endif()
    add_executable(${name}-test ${sources} ${arg_SOURCES}
        ${PROJECT_SOURCE_DIR}/tests/support/main.cpp)
    target_compile_definitions(${name}-test PRIVATE BOOST_TEST_DYN_LINK
        DRAGONFLYSILL_SOURCE_DIR="${PROJECT_SOURCE_DIR}"
        DRAGONFLYSILL_GOLDEN_DIR="${PROJECT_SOURCE_DIR}/tests/golden/${name}")
    target_include_directories(${name}-test PRIVATE ${PROJECT_SOURCE_DIR}/tests)
    target_link_libraries(${name}-test PRIVATE ${arg_LIBRARIES} Boost::unit_test_framework)
    find_library(RAPIDCHECK rapidcheck)
    if(RAPIDCHECK)
        target_link_libraries(${name}-test PRIVATE ${RAPIDCHECK})
    endif()
    set(filters "")
    if(EXISTS ${PROJECT_SOURCE_DIR}/KNOWN-RED.txt)
        set_property(DIRECTORY APPEND PROPERTY CMAKE_CONFIGURE_DEPENDS KNOWN-RED.txt)
        file(STRINGS ${PROJECT_SOURCE_DIR}/KNOWN-RED.txt lines REGEX "^test: ${name} ")
        foreach(line ${lines})
            string(REGEX REPLACE "^test: ${name} " "" case ${line})
            list(APPEND filters --run_test=!${case})
        endforeach()
    endif()
    add_test(NAME ${name} COMMAND ${name}-test --color_output=no ${filters})
    set_tests_properties(${name} PROPERTIES TIMEOUT 120)
endfunction()

# Adds program NAME from DIRECTORY/NAME. A file dependencies.txt in the folder lists the libraries
# that the program links. Tests in tests/NAME link all sources except main.cpp. A folder without
# main.cpp is allowed as long as only its tests are built.
function(dragonflysill_program directory name)
    set(folder ${PROJECT_SOURCE_DIR}/${directory}/${name})
    file(GLOB sources CONFIGURE_DEPENDS ${folder}/*.cpp)
    if(NOT sources OR NOT EXISTS ${folder}/dependencies.txt)
        return()
    endif()
    file(STRINGS ${folder}/dependencies.txt dependencies)
    if(EXISTS ${folder}/main.cpp OR NOT directory STREQUAL programs)
        add_executable(${name} ${sources})
        target_link_libraries(${name} PRIVATE ${dependencies})
        target_compile_definitions(${name} PRIVATE
            DRAGONFLYSILL_VERSION="${PROJECT_VERSION}")
    endif()
    list(REMOVE_ITEM sources ${folder}/main.cpp)
    dragonflysill_test(${name} SOURCES ${sources} LIBRARIES ${dependencies} standin)
endfunction()

# Adds one program for each folder below DIRECTORY.
function(dragonflysill_programs directory)
    file(GLOB folders CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/${directory}/*)
    foreach(folder ${folders})
        get_filename_component(name ${folder} NAME)
        dragonflysill_program(${directory} ${name})
    endforeach()
endfunction()
