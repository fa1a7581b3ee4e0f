#pragma once

#include "arrival_plan.h"
#include "instance_cache.h"
#include "load_report.h"
#include "run_verifier.h"

namespace turmericlane::load
{

/** Sends bookings as a caller does: it requests a ticket, sends the booking
    with it, and repeats the booking with the same ticket as its mode states or
    if no reply came. Thread-safe.

    @see search_caller
*/
class booking_caller
{
public:
    /** The arguments must outlive this object. */
    booking_caller(
        client_pool& pool, run_verifier& verifier, load_report& report);

    /** Sends one booking, waits for its outcome and reports it. */
    void send(const arrival& request, instance_cache& instances);

private:
    /** A reply to a booking. */
    struct booking_reply
    {
        /** Name of the verdict, or "lost" if no reply came. */
        std::string verdict = "lost";
        std::string reason;
        std::string result;
    };

    /** Requests a ticket.
        @param issuer  set to the instance that issued the ticket
        @returns the ticket, or null if there is none */
    nlohmann::json request_ticket(instance_cache& instances, endpoint& issuer);
    booking_reply send_once(
        const arrival& request,
        const nlohmann::json& ticket,
        const std::string& payload,
        const endpoint& target,
        instance_cache& instances);
    std::vector<booking_reply> send_all(
        const arrival& request,
        const nlohmann::json& ticket,
        const endpoint& issuer,
        instance_cache& instances);
    void
    report(const arrival& request, const std::vector<booking_reply>& replies);

    client_pool& pool_;
    run_verifier& verifier_;
    load_report& report_;
};

} // namespace turmericlane::load
