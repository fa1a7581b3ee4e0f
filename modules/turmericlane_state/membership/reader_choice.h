#pragma once

#include "member_store.h"

#include <string_view>

namespace turmericlane
{

/** The readers of the configuration service in a data centre: the first two
    live ordinals by rendezvous hashing, best first.

    @see membership_table::readers */
std::vector<ordinal>
choose_readers(const member_store& store, std::string_view data_centre);

} // namespace turmericlane
