#pragma once

#include <turmericlane_state/turmericlane_state.h>

#include <array>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace turmericlane::testing
{

/** Deliberate faults, which show that the tests detect them. */
enum class injected_fault
{
    none,
    /** The issuer sends the booking again after the loss of the session with
        the owner. */
    retry_after_lost_reply,
    /** The owner answers not_run after it lost a reply. */
    not_run_after_lost_reply,
    /** The owner does not recognise repeated frames. */
    owner_without_records,
    /** A restarted owner accepts frames for its predecessor. */
    unchecked_owner_nonce
};

/** Simulates instances with a coordinator and an executor each, a backend
    server that counts executions, and a network whose messages a test delivers
    in any order, drops or duplicates. */
class booking_simulation
{
public:
    enum class event_kind
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

    /** A message or another event that is to be delivered. */
    struct event
    {
        event_kind kind = event_kind::booking;
        std::size_t sender = 0;
        std::uint64_t sender_nonce = 0;
        std::size_t receiver = 0;
        std::uint64_t receiver_nonce = 0;
        /** A caller_id or a forward_id. */
        std::uint64_t id = 0;
        booking_request request;
        booking_frame frame;
        booking_key key;
        booking_answer answer;
    };

    /** A caller's request and its answers. */
    struct call
    {
        booking_key booking;
        std::string payload;
        std::size_t entry = 0;
        std::uint64_t entry_nonce = 0;
        std::vector<booking_answer> answers;
    };

    static constexpr duration ticket_lifetime = std::chrono::seconds(10);
    static constexpr duration grace_period = std::chrono::seconds(20);
    static constexpr std::size_t max_tickets = 100;
    static constexpr duration request_timeout = std::chrono::seconds(2);

    explicit booking_simulation(
        std::size_t instance_count,
        injected_fault fault = injected_fault::none);
    ~booking_simulation();

    /** Issues a ticket of an instance. */
    ticket issue(std::size_t index);
    /** Sends a caller's request to an entry. */
    void send(
        std::size_t entry,
        const ticket& booking_ticket,
        std::string_view payload);
    const std::vector<event>& events() const
    {
        return events_;
    }
    /** Delivers the event at a position of events(). */
    void deliver(std::size_t position);
    /** Drops an event. Between instances their session is lost with it. */
    void drop(std::size_t position);
    /** Returns true if the network may duplicate an event. */
    bool can_duplicate(std::size_t position) const;
    void duplicate(std::size_t position);
    /** Replaces the process of an instance by one with a new nonce. */
    void crash(std::size_t index);
    void advance(duration span);
    /** Calls the timers of an instance. */
    void run_timers(std::size_t index);

    /** Returns the first violation of the guarantees; empty if there is none.
     */
    std::string violation() const;
    /** Returns a hash of all state that affects later events. */
    std::uint64_t fingerprint() const;
    const std::vector<call>& calls() const
    {
        return calls_;
    }
    /** Returns the number of executions on the backend server. */
    std::size_t execution_count() const;
    /** Returns true if the entry process of a call is still running. */
    bool is_entry_running(const call& it) const;
    booking_coordinator& coordinator(std::size_t index);
    booking_executor& executor(std::size_t index);

private:
    class instance;

    void add_event(event added_event);
    void report_peer_lost(
        std::size_t index, std::size_t peer, std::uint64_t peer_nonce);

    manual_clock clock_;
    injected_fault fault_;
    std::vector<std::unique_ptr<instance>> instances_;
    std::vector<event> events_;
    std::vector<call> calls_;
    /** Payloads of the executions of each booking. */
    std::map<booking_key, std::vector<std::string>> executions_;
    std::uint64_t last_nonce_ = 0;
    std::uint64_t offset_count_ = 0;
};

} // namespace turmericlane::testing
