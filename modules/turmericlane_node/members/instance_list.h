#pragma once

#include <turmericlane_state/turmericlane_state.h>

#include <string_view>
#include <vector>

namespace turmericlane
{

/** Parses the platform's instance list: a JSON array of {address, peer_port,
    http_port, data_centre, ordinal, state}. Unknown fields are ignored, since
    the platform defines the format.
    @returns the entries, or an error that names the malformed entry */
result<std::vector<listed_instance>>
parse_instance_list(std::string_view list_json);

} // namespace turmericlane
