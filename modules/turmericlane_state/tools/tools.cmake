# The simulated fleet. It is used by the tests of the module and by
# turmericlane_slopes, which measures how the cost grows with the fleet.
set(folder ${CMAKE_SOURCE_DIR}/modules/turmericlane_state/tools)
add_library(turmericlane_state_fleet STATIC ${folder}/fleet.cpp)
target_compile_options(turmericlane_state_fleet
                       PRIVATE ${TURMERICLANE_WARNINGS})
target_link_libraries(turmericlane_state_fleet PUBLIC turmericlane_state)
target_link_libraries(turmericlane_state_tests
                      PRIVATE turmericlane_state_fleet)

add_executable(turmericlane_slopes ${folder}/slopes.cpp)
target_compile_options(turmericlane_slopes PRIVATE ${TURMERICLANE_WARNINGS})
target_link_libraries(turmericlane_slopes PRIVATE turmericlane_state_fleet)
