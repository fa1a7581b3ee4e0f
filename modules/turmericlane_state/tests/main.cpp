#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <turmericlane_state/turmericlane_state.h>

#include <doctest/doctest.h>
