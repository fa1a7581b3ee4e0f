#pragma once

#include "arrival_plan.h"
#include "instance_view.h"
#include "load_report.h"
#include "run_judge.h"

namespace turmericlane::load
{

/** Sends bookings as a caller does: takes a ticket, sends the booking with it,
    and sends it again with the same ticket as its mode says, or when a reply
    was lost. Any thread may call.

    @see search_caller
*/
class booking_caller
{
public:
    /** Everything given outlives the caller. */
    booking_caller(client_pool& pool, run_judge& judge, load_report& report);

    /** Sends one booking, waits for how it ends and reports it. */
    void send(const arrival& asked, instance_view& view);

private:
    /** A reply to a booking. */
    struct booking_reply
    {
        /** Name of the verdict, or "lost". */
        std::string verdict = "lost";
        std::string reason;
        std::string result;
    };

    /** Takes a ticket.
        @param issuer  gets the instance that issued it
        @returns the ticket, or null */
    nlohmann::json take_ticket(instance_view& view, endpoint& issuer);
    booking_reply send_once(
        const arrival& asked,
        const nlohmann::json& ticket,
        const std::string& payload,
        const endpoint& to,
        instance_view& view);
    std::vector<booking_reply> send_all(
        const arrival& asked,
        const nlohmann::json& ticket,
        const endpoint& issuer,
        instance_view& view);
    void
    report(const arrival& asked, const std::vector<booking_reply>& replies);

    client_pool& pool_;
    run_judge& judge_;
    load_report& report_;
};

} // namespace turmericlane::load
