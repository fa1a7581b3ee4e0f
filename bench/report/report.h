#pragma once

#include "../run/run_result.h"

#include <ostream>

namespace turmericlane::bench
{

/** Prints one JSON object a line for each rank. `violations` is the total of
    the run on each of its lines. */
void print_json(std::ostream& to, const run_result& result);

/** Prints the names of the table's columns. */
void print_table_head(std::ostream& to);

/** Prints one aligned line for each rank, and the violations by kind. */
void print_table(std::ostream& to, const run_result& result);

} // namespace turmericlane::bench
