#include "attempt_evaluation.h"

namespace turmericlane
{

namespace
{

reason reason_of(backend_status status)
{
    switch (status)
    {
    case backend_status::ok:
        return reason::none;
    case backend_status::shed:
        return reason::shed_by_server;
    case backend_status::draining:
        return reason::server_draining;
    case backend_status::snapshot_gone:
        return reason::snapshot_gone;
    case backend_status::deadline:
        return reason::deadline_reached;
    case backend_status::connect_failed:
        return reason::connect_failed;
    case backend_status::connection_lost:
        return reason::connection_lost;
    case backend_status::timed_out:
        return reason::attempt_timeout;
    case backend_status::bad_reply:
        return reason::bad_reply;
    case backend_status::cancelled:
        return reason::cancelled;
    }
    return reason::internal_error;
}

void measure_server(
    const attempt_record& attempt,
    backend_status status,
    duration took,
    time_point now)
{
    auto& server = *attempt.server;
    auto& group = *attempt.group;
    switch (status)
    {
    case backend_status::ok:
        server.on_success();
        // An attempt that was given up was measured then.
        if (attempt.given_up != time_point{})
            return;
        group.latencies.add(took);
        return group.replicas.on_latency(server, took, now);
    case backend_status::snapshot_gone:
        return server.on_success();
    case backend_status::shed:
        return server.on_shed(now);
    case backend_status::draining:
        return server.on_drain_reply(now);
    case backend_status::connect_failed:
    case backend_status::connection_lost:
    case backend_status::bad_reply:
        return group.replicas.on_failure(server, now);
    case backend_status::timed_out:
    case backend_status::deadline:
        // The time left may have been short: it is a slow reply, no failure.
        return group.replicas.on_latency(server, took, now);
    case backend_status::cancelled:
        return;
    }
}

} // namespace

reason attempt_evaluation::failure(
    const backend_reply& reply,
    const sub_request_record& part,
    std::uint64_t snapshot)
{
    if (reply.status != backend_status::ok)
        return reason_of(reply.status);
    if (reply.epoch != part.epoch)
        return reason::epoch_mismatch;
    if (snapshot != 0 && reply.snapshot != snapshot)
        return reason::snapshot_mismatch;
    return reason::none;
}

bool attempt_evaluation::may_have_run(reason why)
{
    return why != reason::connect_failed && why != reason::shed_by_server &&
           why != reason::server_draining && why != reason::snapshot_gone;
}

void attempt_evaluation::measure(
    const attempt_record& attempt, const backend_reply& reply, time_point now)
{
    auto given_up = attempt.given_up != time_point{};
    auto took = (given_up ? attempt.given_up : now) - attempt.started;
    auto& server = *attempt.server;
    auto& replicas = attempt.group->replicas;
    server.on_range(reply.served);
    measure_server(attempt, reply.status, took, now);
    if (!attempt.probe)
        return;
    if (reply.status == backend_status::cancelled)
        return replicas.on_probe_cancelled(server, took, now);
    auto answered = reply.status == backend_status::ok ||
                    reply.status == backend_status::snapshot_gone;
    replicas.on_probe(server, answered, took, now);
}

} // namespace turmericlane
