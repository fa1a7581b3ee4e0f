#pragma once

#include "../run/run_result.h"

#include <ostream>

namespace turmericlane::bench
{

/** Prints one line with a JSON object for each rank. `violations` is the total
    of the run on each of its lines. */
void print_json(std::ostream& output, const run_result& result);

/** Prints the column names of the table. */
void print_table_header(std::ostream& output);

/** Prints one table row for each rank, and the violations by kind. */
void print_table(std::ostream& output, const run_result& result);

} // namespace turmericlane::bench
