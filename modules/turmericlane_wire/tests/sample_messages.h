#pragma once

#include <turmericlane_wire/turmericlane_wire.h>

namespace turmericlane::samples
{

inline constexpr message_header header{0xfedcba9876543210ULL, 7, 41};

inline search_batch make_search_batch()
{
    search_batch made;
    made.id = {11, 12};
    made.attempt = 2;
    made.work = rank::archive;
    made.time_left = std::chrono::milliseconds(140);
    made.snapshot = 5;
    made.bundle_version = 40;
    made.limit = 20;
    made.query = "hut near the bus park";
    made.parts = {{{1, 0}, 3}, {{2, 9}, 4}};
    return made;
}

inline shard_reply make_shard_reply()
{
    shard_reply made;
    made.id = {11, 12};
    made.attempt = 2;
    made.group = {2, 9};
    made.state = verdict::success();
    made.snapshot = 5;
    made.epoch = 4;
    made.served = {4, 5};
    made.queue_delay = std::chrono::microseconds(120);
    made.service_time = std::chrono::milliseconds(9);
    made.sub_requests_sent = 2;
    made.hits = {{"hut-1", 0.75}, {"hut-2", 0.5}};
    return made;
}

inline heartbeat make_heartbeat()
{
    heartbeat made;
    made.number = 9;
    made.full_state = true;
    made.members = {
        {"127.0.0.1", 7001, 8001, "dc-1", 3, 55, 2, member_state_code::suspect,
         4},
        {"::1", 7002, 8002, "dc-2", 4, 56, 1, member_state_code::live, 4}};
    return made;
}

inline const booking_forward forward{
    {1, 2},    "caller-1", "ticket",     "fee_ledger",
    "pitch 9", "{}",       rank::urgent, std::chrono::milliseconds(80)};
inline const booking_execute execute{
    {1, 2},
    {4, 5},
    "request-1",
    "pitch 9",
    "{}",
    rank::urgent,
    std::chrono::milliseconds(70)};
inline const booking_reply reply{
    {1, 2}, verdict::unknown(reason::reply_lost), "held"};

} // namespace turmericlane::samples
