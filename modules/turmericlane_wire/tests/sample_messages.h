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
    made.request_rank = rank::archive;
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
    made.served_snapshots = {4, 5};
    made.queue_delay = std::chrono::microseconds(120);
    made.service_time = std::chrono::milliseconds(9);
    made.sub_requests_sent = 2;
    made.hits = {{"hut-1", 0.75}, {"hut-2", 0.5}};
    return made;
}

inline membership_message make_heartbeat()
{
    membership_message made;
    made.kind = membership_message::type::exchange;
    made.sender.listen_endpoint = {"127.0.0.1", 7001, 8001};
    made.sender.data_centre = "dc-1";
    made.sender.nonce = 54;
    made.sequence = 9;
    made.digest = 77;
    made.members.resize(2);
    made.members[0].listen_endpoint = {"127.0.0.1", 7002, 8002};
    made.members[0].data_centre = "dc-2";
    made.members[0].index = 3;
    made.members[0].nonce = 55;
    made.members[0].incarnation = 2;
    made.members[0].state = member_state::suspect;
    made.members[0].capacity = 250;
    made.members[1].listen_endpoint = {"::1", 7003, 8003};
    made.members[1].nonce = 56;
    made.suspicions = {{54, 55, 2}};
    return made;
}

inline booking_forward_message make_forward()
{
    booking_forward_message made;
    made.id = 12;
    made.request.booking_ticket.issuer_address = "127.0.0.1:8001";
    made.request.booking_ticket.issuer = 3;
    made.request.booking_ticket.issuer_nonce = 99;
    made.request.booking_ticket.serial = 5;
    made.request.booking_ticket.expiry = std::chrono::milliseconds(2000);
    made.request.booking_ticket.authentication_code.fill(7);
    made.request.service = 4;
    made.request.key = "pitch 9";
    made.request.payload = "{}";
    made.time_left = std::chrono::milliseconds(80);
    return made;
}

inline booking_execute_message make_execute()
{
    booking_execute_message made;
    made.frame.id = {99, 5};
    made.frame.owner_nonce = 55;
    made.frame.group = {4, 5};
    made.frame.key = "pitch 9";
    made.frame.payload = "{}";
    made.frame.request_rank = rank::ordinary;
    made.frame.time_left = std::chrono::milliseconds(70);
    return made;
}

inline booking_reply_message make_reply()
{
    booking_reply_message made;
    made.booking = {99, 5};
    made.answer = {verdict::unknown(reason::reply_lost), 503, "held"};
    return made;
}

} // namespace turmericlane::samples
