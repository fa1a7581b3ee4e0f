#pragma once

#include "member_store.h"

#include <string_view>

namespace turmericlane
{

/** Returns the ordinals of the instances that read the configuration service
    for a data centre: the first two live ones by rendezvous hashing, best
    first.

    @see membership_table::readers */
std::vector<ordinal>
choose_readers(const member_store& store, std::string_view data_centre);

} // namespace turmericlane
