#include "member.h"

namespace turmericlane
{

namespace
{

// Upper estimates of what FlatBuffers adds: offsets, tables and padding; for
// suspicions, of the whole encoded size.
constexpr std::size_t message_overhead_bytes = 120;
constexpr std::size_t member_overhead_bytes = 76;
constexpr std::size_t suspicion_bytes = 24;

} // namespace

std::string_view to_string(member_state state) noexcept
{
    switch (state)
    {
    case member_state::live:
        return "live";
    case member_state::leaving:
        return "leaving";
    case member_state::suspect:
        return "suspect";
    case member_state::gone:
        return "gone";
    }
    return "unknown";
}

std::size_t encoded_bytes(const member& record)
{
    return member_overhead_bytes + record.listen_endpoint.address.size() +
           record.data_centre.size();
}

std::size_t encoded_bytes(const membership_message& message)
{
    auto bytes = message_overhead_bytes + encoded_bytes(message.sender);
    for (const auto& it : message.members)
        bytes += encoded_bytes(it);
    return bytes + message.suspicions.size() * suspicion_bytes;
}

} // namespace turmericlane
