#pragma once

#include <turmericlane_core/turmericlane_core.h>

#include <cstdint>
#include <string>

namespace turmericlane
{

/** Entry that a searcher publishes about itself. */
struct searcher_entry
{
    /** Unique among all searchers. */
    std::string id;
    std::string service;
    /** Numeric IP address and port. */
    std::string address;
    std::uint16_t port = 0;
    std::string data_centre;
    /** Requests that it runs at the same time. */
    std::uint32_t slots = 1;
    /** True if it takes no new requests. */
    bool is_draining = false;
    /** Remaining time for which it is slow after its start. */
    duration warm_up_time{};
    /** Differs between the starts of a searcher with the same id. */
    std::uint64_t incarnation = 0;

    friend bool
    operator==(const searcher_entry&, const searcher_entry&) = default;
};

} // namespace turmericlane
