#pragma once

#include <chrono>

namespace turmericlane
{

/** Time after an outage of the store in which removed items may be written
    again: a live searcher publishes itself within two seconds. */
inline constexpr std::chrono::milliseconds settling_period{2200};
/** Time after a return of the store for which a value that is provably newer
    outlasts the one in the store: an entry expires after three heartbeats
    unless its searcher writes it again. */
inline constexpr std::chrono::milliseconds retention_period{5000};

} // namespace turmericlane
