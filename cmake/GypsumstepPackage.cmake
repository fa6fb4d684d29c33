# Helpers that give every package of the workspace the same layout.

# gypsumstep_add_package(NAME [PURE] [SOURCES ...] [DEPENDS ...] [TESTS ...])
#
# Declares the library gypsumstep_NAME with the alias gypsumstep::NAME from
# include/ and src/, and one ctest program from tests/. A PURE package makes
# decisions only: it has no I/O, clock, thread or Qt, and it is installed and
# exported for others to embed.
function(gypsumstep_add_package NAME)
    cmake_parse_arguments(ARG "PURE" "" "SOURCES;DEPENDS;TESTS;TEST_DEPENDS" ${ARGN})
    set(target gypsumstep_${NAME})
    if(ARG_SOURCES)
        add_library(${target} STATIC ${ARG_SOURCES})
        set(scope PUBLIC)
    else()
        add_library(${target} INTERFACE)
        set(scope INTERFACE)
    endif()
    add_library(gypsumstep::${NAME} ALIAS ${target})
    set_target_properties(${target} PROPERTIES EXPORT_NAME ${NAME})
    target_include_directories(${target} ${scope}
        $<BUILD_INTERFACE:${CMAKE_CURRENT_SOURCE_DIR}/include>
        $<INSTALL_INTERFACE:${CMAKE_INSTALL_INCLUDEDIR}>)
    target_compile_features(${target} ${scope} cxx_std_20)
    target_link_libraries(${target} ${scope} ${ARG_DEPENDS})
    if(ARG_SOURCES)
        target_compile_options(${target} PRIVATE ${GYPSUMSTEP_WARNINGS})
    endif()
    if(ARG_PURE)
        install(TARGETS ${target} EXPORT gypsumstepTargets
            ARCHIVE DESTINATION ${CMAKE_INSTALL_LIBDIR})
        install(DIRECTORY include/ DESTINATION ${CMAKE_INSTALL_INCLUDEDIR})
    endif()
    if(ARG_TESTS AND BUILD_TESTING)
        gypsumstep_add_test(${NAME} SOURCES ${ARG_TESTS}
            DEPENDS gypsumstep::${NAME} ${ARG_TEST_DEPENDS})
    endif()
endfunction()

# gypsumstep_add_test(NAME SOURCES ... DEPENDS ...): a Catch2 program run by ctest.
function(gypsumstep_add_test NAME)
    cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
    add_executable(test_${NAME} ${ARG_SOURCES})
    target_link_libraries(test_${NAME} PRIVATE ${ARG_DEPENDS} gypsumstep_catch_main)
    target_compile_options(test_${NAME} PRIVATE ${GYPSUMSTEP_WARNINGS})
    add_test(NAME ${NAME} COMMAND test_${NAME})
endfunction()

# gypsumstep_add_program(NAME SOURCES ... DEPENDS ... [INSTALL])
function(gypsumstep_add_program NAME)
    cmake_parse_arguments(ARG "INSTALL" "" "SOURCES;DEPENDS" ${ARGN})
    add_executable(${NAME} ${ARG_SOURCES})
    target_link_libraries(${NAME} PRIVATE ${ARG_DEPENDS})
    target_compile_options(${NAME} PRIVATE ${GYPSUMSTEP_WARNINGS})
    if(ARG_INSTALL)
        install(TARGETS ${NAME} RUNTIME DESTINATION ${CMAKE_INSTALL_BINDIR})
    endif()
endfunction()
