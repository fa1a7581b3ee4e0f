#pragma once

#include <turmericlane_state/turmericlane_state.h>

#include <array>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace turmericlane::testing
{

/** Deliberate faults, to show that the checks find them. */
enum class wrong_variant
{
    none,
    /** The issuer sends again, to the next owner, when a session is lost. */
    retry_after_lost_reply,
    /** The owner says not_run after it lost a reply. */
    not_run_after_loss,
    /** The owner forgets every booking at once. */
    no_records_at_owner,
    /** A restarted owner takes frames meant for its predecessor. */
    no_owner_nonce
};

/** Instances with a coordinator and an executor each, a backend server that
    counts executions, and a network whose messages the test delivers, drops,
    doubles and crosses as it likes. */
class booking_world
{
public:
    enum class kind
    {
        booking,
        forward,
        forward_reply,
        execute,
        execute_reply,
        connect,
        write,
        backend_reply,
        peer_lost
    };

    /** A message or event that waits to be delivered. */
    struct event
    {
        kind what = kind::booking;
        std::size_t from = 0;
        std::uint64_t from_nonce = 0;
        std::size_t to = 0;
        std::uint64_t to_nonce = 0;
        /** caller_id or forward_id. */
        std::uint64_t id = 0;
        booking_request request;
        booking_frame frame;
        booking_key key;
        booking_answer answer;
    };

    /** A caller's request and what came of it. */
    struct call
    {
        booking_key booking;
        std::string payload;
        std::size_t node = 0;
        std::uint64_t nonce = 0;
        std::vector<booking_answer> answers;
    };

    static constexpr duration ticket_lifetime = std::chrono::seconds(10);
    static constexpr duration grace = std::chrono::seconds(20);
    static constexpr std::size_t most_tickets = 100;
    static constexpr duration request_time = std::chrono::seconds(2);

    explicit booking_world(
        std::size_t nodes, wrong_variant wrong = wrong_variant::none);
    ~booking_world();

    ticket issue(std::size_t node);
    void send(std::size_t node, const ticket& permit, std::string_view payload);
    const std::vector<event>& events() const
    {
        return events_;
    }
    void deliver(std::size_t n);
    /** The message is lost and, between instances, the session with it. */
    void drop(std::size_t n);
    bool can_double(std::size_t n) const;
    void double_up(std::size_t n);
    /** Replaces the process by one with another nonce. */
    void crash(std::size_t node);
    void advance(duration span);
    void timers(std::size_t node);

    /** First broken promise; empty if there is none. */
    std::string violation() const;
    /** Hash of all that can influence the future. */
    std::uint64_t fingerprint() const;
    const std::vector<call>& calls() const
    {
        return calls_;
    }
    std::size_t runs() const;
    bool alive(const call& it) const;
    booking_coordinator& coordinator(std::size_t node);
    booking_executor& executor(std::size_t node);

private:
    class node;

    void push(event made);
    void peer_lost(std::size_t at, std::size_t peer, std::uint64_t nonce);

    manual_clock clock_;
    wrong_variant wrong_;
    std::vector<std::unique_ptr<node>> nodes_;
    std::vector<event> events_;
    std::vector<call> calls_;
    /** Executions by ticket of the first issuer's process. */
    std::map<booking_key, std::vector<std::string>> runs_;
    std::uint64_t last_nonce_ = 0;
    std::uint64_t disguised_ = 0;
};

} // namespace turmericlane::testing
