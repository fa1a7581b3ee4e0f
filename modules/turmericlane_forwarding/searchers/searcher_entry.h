#pragma once

#include <turmericlane_core/turmericlane_core.h>

#include <cstdint>
#include <string>

namespace turmericlane
{

/** What a searcher publishes about itself. */
struct searcher_entry
{
    /** Unique among all searchers. */
    std::string id;
    std::string service;
    /** Numeric IP address and port. */
    std::string address;
    std::uint16_t port = 0;
    std::string data_centre;
    /** Requests that it runs at a time. */
    std::uint32_t slots = 1;
    /** It takes no new requests. */
    bool is_draining = false;
    /** How much longer it is slow after its start. */
    duration warm_up_time{};
    /** Tells the starts of a searcher under one id apart. */
    std::uint64_t incarnation = 0;

    friend bool
    operator==(const searcher_entry&, const searcher_entry&) = default;
};

} // namespace turmericlane
