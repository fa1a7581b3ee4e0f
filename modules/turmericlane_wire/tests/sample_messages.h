#pragma once

#include <turmericlane_wire/turmericlane_wire.h>

namespace turmericlane::samples
{

inline constexpr message_header header{0xfedcba9876543210ULL, 7, 41};

inline search_batch make_search_batch()
{
    search_batch result;
    result.id = {11, 12};
    result.attempt = 2;
    result.request_rank = rank::archive;
    result.time_left = std::chrono::milliseconds(140);
    result.snapshot = 5;
    result.bundle_version = 40;
    result.limit = 20;
    result.query = "hut near the bus park";
    result.parts = {{{1, 0}, 3}, {{2, 9}, 4}};
    return result;
}

inline shard_reply make_shard_reply()
{
    shard_reply result;
    result.id = {11, 12};
    result.attempt = 2;
    result.group = {2, 9};
    result.state = verdict::success();
    result.snapshot = 5;
    result.epoch = 4;
    result.served_snapshots = {4, 5};
    result.queue_delay = std::chrono::microseconds(120);
    result.service_time = std::chrono::milliseconds(9);
    result.sub_requests_sent = 2;
    result.hits = {{"hut-1", 0.75}, {"hut-2", 0.5}};
    return result;
}

inline membership_message make_heartbeat()
{
    membership_message result;
    result.kind = membership_message::type::exchange;
    result.sender.listen_endpoint = {"127.0.0.1", 7001, 8001};
    result.sender.data_centre = "dc-1";
    result.sender.nonce = 54;
    result.sequence = 9;
    result.digest = 77;
    result.members.resize(2);
    result.members[0].listen_endpoint = {"127.0.0.1", 7002, 8002};
    result.members[0].data_centre = "dc-2";
    result.members[0].index = 3;
    result.members[0].nonce = 55;
    result.members[0].incarnation = 2;
    result.members[0].state = member_state::suspect;
    result.members[0].capacity = 250;
    result.members[1].listen_endpoint = {"::1", 7003, 8003};
    result.members[1].nonce = 56;
    result.suspicions = {{54, 55, 2}};
    return result;
}

inline booking_forward_message make_booking_forward()
{
    booking_forward_message result;
    result.id = 12;
    result.request.booking_ticket.issuer_address = "127.0.0.1:8001";
    result.request.booking_ticket.issuer = 3;
    result.request.booking_ticket.issuer_nonce = 99;
    result.request.booking_ticket.serial = 5;
    result.request.booking_ticket.expiry = std::chrono::milliseconds(2000);
    result.request.booking_ticket.authentication_code.fill(7);
    result.request.service = 4;
    result.request.key = "pitch 9";
    result.request.payload = "{}";
    result.time_left = std::chrono::milliseconds(80);
    return result;
}

inline booking_execute_message make_booking_execute()
{
    booking_execute_message result;
    result.frame.id = {99, 5};
    result.frame.owner_nonce = 55;
    result.frame.group = {4, 5};
    result.frame.key = "pitch 9";
    result.frame.payload = "{}";
    result.frame.request_rank = rank::ordinary;
    result.frame.time_left = std::chrono::milliseconds(70);
    return result;
}

inline booking_reply_message make_booking_reply()
{
    booking_reply_message result;
    result.booking = {99, 5};
    result.answer = {verdict::unknown(reason::reply_lost), 503, "held"};
    return result;
}

} // namespace turmericlane::samples
