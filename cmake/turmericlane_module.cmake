# Defines the library turmericlane_<name> from modules/turmericlane_<name>, and
# its test program from the subfolder tests/. Its dependencies must be defined
# before it, so that a dependency cycle is an error.
set(TURMERICLANE_WARNINGS -Wall -Wextra -Werror)

function(turmericlane_module name)
  cmake_parse_arguments(MODULE "" "" "DEPENDS;LIBRARIES" ${ARGN})
  set(folder ${CMAKE_SOURCE_DIR}/modules/turmericlane_${name})
  if(NOT EXISTS ${folder})
    return()
  endif()
  set(target turmericlane_${name})
  file(GLOB_RECURSE sources CONFIGURE_DEPENDS ${folder}/*.cpp)
  list(FILTER sources EXCLUDE REGEX "/(tests|tools)/")
  set(visibility PUBLIC)
  if(sources)
    add_library(${target} STATIC ${sources})
    target_compile_options(${target} PRIVATE ${TURMERICLANE_WARNINGS})
  else()
    add_library(${target} INTERFACE)
    set(visibility INTERFACE)
  endif()
  target_include_directories(${target} ${visibility}
                             ${CMAKE_SOURCE_DIR}/modules)
  target_link_libraries(${target} ${visibility} Threads::Threads
                        ${MODULE_LIBRARIES})
  foreach(it ${MODULE_DEPENDS})
    if(NOT TARGET turmericlane_${it})
      if(EXISTS ${CMAKE_SOURCE_DIR}/modules/turmericlane_${it})
        message(FATAL_ERROR "${name} depends on ${it}, which isn't defined yet")
      endif()
      continue()
    endif()
    target_link_libraries(${target} ${visibility} turmericlane_${it})
  endforeach()

  file(GLOB tests CONFIGURE_DEPENDS ${folder}/tests/*.cpp)
  if(tests AND TURMERICLANE_TESTS)
    add_executable(${target}_tests ${tests})
    target_compile_options(${target}_tests PRIVATE ${TURMERICLANE_WARNINGS})
    target_compile_definitions(
      ${target}_tests
      PRIVATE TURMERICLANE_SOURCE_DIR="${CMAKE_SOURCE_DIR}")
    target_link_libraries(${target}_tests PRIVATE ${target} doctest::doctest)
    add_test(NAME ${target}
             COMMAND ${CMAKE_SOURCE_DIR}/scripts/run-test-program ${target}
                     $<TARGET_FILE:${target}_tests>)
  endif()
endfunction()
