#pragma once

#include <turmericlane_state/turmericlane_state.h>

#include <string_view>
#include <vector>

namespace turmericlane
{

/** Parses the platform's list: a JSON array of {address, peer_port, http_port,
    data_centre, ordinal, state}. Unknown fields are ignored, because the list
    belongs to the platform.
    @returns the entries, or which entry is malformed */
result<std::vector<listed_instance>>
parse_instance_list(std::string_view list_json);

} // namespace turmericlane
