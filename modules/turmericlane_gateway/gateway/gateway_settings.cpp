#include "gateway_settings.h"

#include <algorithm>
#include <limits>

namespace turmericlane
{

namespace
{

using namespace std::chrono_literals;

/** Time at the end of the shutdown in which requests in flight finish. */
constexpr auto drain_timeout = 1200ms;
/** Time after it in which the answers to the rest are written. */
constexpr auto last_answers_timeout = 200ms;
constexpr double thousandths = 1000.0;
/** Share of the process's memory for answers that are being received. The
    buffers of the kernel take about as much again. */
constexpr std::uint64_t response_memory_divisor = 16;
constexpr std::uint64_t min_response_memory_bytes = 4ULL << 20U;
constexpr std::uint64_t max_response_memory_bytes = 64ULL << 20U;
/** Share of the process's memory for what is held for callers. The allocator
    and the kernel's buffers take several times as much. */
constexpr std::uint64_t caller_memory_divisor = 8;
constexpr std::uint64_t min_caller_memory_bytes = 2ULL << 20U;
constexpr std::uint64_t max_caller_memory_bytes = 256ULL << 20U;
/** Share of the sockets for callers' connections, and of these for each API of
    the instance itself. */
constexpr std::size_t caller_socket_divisor = 2;
constexpr std::size_t api_connection_divisor = 8;
constexpr std::size_t min_api_connections = 16;

} // namespace

member make_own_member(const gateway_settings& settings)
{
    member self;
    self.listen_endpoint = settings.local_endpoint;
    self.data_centre = settings.data_centre;
    self.nonce = settings.nonce;
    self.index = static_cast<ordinal>(settings.nonce);
    self.capacity =
        static_cast<std::uint32_t>(settings.processor_cores * thousandths);
    return self;
}

std::size_t max_response_bytes(const gateway_settings& settings)
{
    if (settings.memory_bytes == 0)
        return max_response_memory_bytes;
    return std::clamp(
        settings.memory_bytes / response_memory_divisor,
        min_response_memory_bytes, max_response_memory_bytes);
}

std::size_t max_caller_bytes(const gateway_settings& settings)
{
    if (settings.caller_memory_bytes > 0)
        return settings.caller_memory_bytes;
    if (settings.memory_bytes == 0)
        return max_caller_memory_bytes;
    return std::clamp(
        settings.memory_bytes / caller_memory_divisor, min_caller_memory_bytes,
        max_caller_memory_bytes);
}

std::size_t max_caller_connections(const gateway_settings& settings)
{
    if (settings.max_caller_connections > 0)
        return settings.max_caller_connections;
    if (settings.max_sockets == 0)
        return std::numeric_limits<std::size_t>::max();
    return std::max<std::size_t>(
        1, settings.max_sockets / caller_socket_divisor);
}

std::size_t max_api_connections(const gateway_settings& settings)
{
    return std::max(
        min_api_connections,
        max_caller_connections(settings) / api_connection_divisor);
}

shutdown_limits make_shutdown_limits(const gateway_settings& settings)
{
    shutdown_limits limits;
    limits.total_time = settings.shutdown_timeout - last_answers_time(settings);
    limits.leaving_time = std::max<duration>(
        settings.shutdown_timeout - drain_timeout,
        settings.shutdown_timeout / 2);
    return limits;
}

duration last_answers_time(const gateway_settings& settings)
{
    constexpr int max_share_divisor = 4;
    return std::min<duration>(
        last_answers_timeout, settings.shutdown_timeout / max_share_divisor);
}

} // namespace turmericlane
