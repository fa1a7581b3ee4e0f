#include "attempt_evaluation.h"

namespace turmericlane
{

namespace
{

reason to_reason(backend_status status)
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

void update_server(
    const attempt_record& attempt,
    backend_status status,
    duration latency,
    time_point now)
{
    auto& server = *attempt.server;
    auto& group = *attempt.group;
    switch (status)
    {
    case backend_status::ok:
        server.on_success();
        // The latency of an attempt that was given up was recorded then.
        if (attempt.give_up_time != time_point{})
            return;
        group.latencies.add(latency);
        return group.replicas.on_latency(server, latency, now);
    case backend_status::snapshot_gone:
        return server.on_success();
    case backend_status::shed:
        return server.on_overload_reply(now);
    case backend_status::draining:
        return server.on_drain_reply(now);
    case backend_status::connect_failed:
    case backend_status::connection_lost:
    case backend_status::bad_reply:
        return group.replicas.on_failure(server, now);
    case backend_status::timed_out:
    case backend_status::deadline:
        // The time left may have been short, so this counts as a slow reply
        // and not as a failure.
        return group.replicas.on_latency(server, latency, now);
    case backend_status::cancelled:
        return;
    }
}

} // namespace

reason attempt_evaluation::failure_reason(
    const backend_reply& reply,
    const sub_request_record& sub_request,
    std::uint64_t snapshot)
{
    if (reply.status != backend_status::ok)
        return to_reason(reply.status);
    if (reply.epoch != sub_request.epoch)
        return reason::epoch_mismatch;
    if (snapshot != 0 && reply.snapshot != snapshot)
        return reason::snapshot_mismatch;
    return reason::none;
}

bool attempt_evaluation::may_have_run(reason cause)
{
    return cause != reason::connect_failed && cause != reason::shed_by_server &&
           cause != reason::server_draining && cause != reason::snapshot_gone;
}

void attempt_evaluation::record(
    const attempt_record& attempt, const backend_reply& reply, time_point now)
{
    auto was_given_up = attempt.give_up_time != time_point{};
    auto latency =
        (was_given_up ? attempt.give_up_time : now) - attempt.start_time;
    auto& server = *attempt.server;
    auto& replicas = attempt.group->replicas;
    server.on_snapshot_range(reply.served_snapshots, now);
    update_server(attempt, reply.status, latency, now);
    if (!attempt.is_probe)
        return;
    if (reply.status == backend_status::cancelled)
        return replicas.on_probe_cancelled(server, latency, now);
    auto was_answered = reply.status == backend_status::ok ||
                        reply.status == backend_status::snapshot_gone;
    replicas.on_probe(server, was_answered, latency, now);
}

} // namespace turmericlane
