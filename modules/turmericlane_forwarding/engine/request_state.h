#pragma once

#include "../attempts/hedge_timing.h"
#include "../gather/answer_rule.h"
#include "../searchers/searcher.h"
#include "forward_request.h"

#include <memory>
#include <vector>

namespace turmericlane
{

/** State of a sub-request. */
enum class part_state : std::uint8_t
{
    waiting,
    running,
    /** Retried as soon as the budget allows it. */
    postponed,
    arrived,
    failed
};

/** Returns the name for logs. */
std::string_view to_string(part_state value) noexcept;

/** A sub-request: the only one of a request, or the one to a shard. */
struct request_part
{
    const std::string* service = nullptr;
    part_state state = part_state::waiting;
    /** Attempts in flight. */
    std::uint32_t running_attempts = 0;
    /** Ended attempts that may have been executed, without unacknowledged
        ones. */
    std::uint32_t executed_attempts = 0;
    /** All other ended attempts. */
    std::uint32_t unexecuted_attempts = 0;
    time_point last_sent_time;
    attempt_outcome postponed_outcome = attempt_outcome::broken;
    std::vector<std::shared_ptr<searcher>> tried_searchers;
    std::vector<attempt_handle> attempts;
    searcher_answer answer;
};

/** State of a request in a forward_engine. */
struct request_state
{
    forward_request request;
    time_point arrival_time;
    time_point next_check;
    answer_limits limits;
    hedge_timing* timing = nullptr;
    std::vector<request_part> parts;
    std::size_t parts_arrived = 0;
    std::size_t parts_failed = 0;
    std::uint32_t attempts_sent = 0;
    std::uint32_t extra_attempts = 0;
    /** Ended attempts of all parts that are certain not to have run. */
    std::uint32_t unexecuted_count = 0;
    bool may_have_run = false;
};

/** Builds the final result of a request: the answer of its searcher or the
    merged answers of its shards, and whether it may have been executed. Moves
    the answer, or the signatures of the parts, out of the state.
    @param failure  why the request failed, or none */
forward_result
make_result(request_state& state, forward_failure failure, time_point now);

} // namespace turmericlane
