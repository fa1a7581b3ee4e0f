#pragma once

#include <turmericlane_decisions/turmericlane_decisions.h>

#include <map>
#include <set>

namespace turmericlane::tests
{

/** Records every action and reason. Owners are usable unless listed in
    `unusable`. */
class recording_actions : public entry_actions,
                          public owner_actions,
                          public owner_directory,
                          public reason_listener
{
public:
    void send_batch(ordinal owner, const search_batch& batch) override
    {
        batches.emplace_back(owner, batch);
    }

    void send_cancel(ordinal owner, query_id) override
    {
        cancelled_owners.push_back(owner);
    }

    void finish(const search_answer& answer) override
    {
        answers.push_back(answer);
    }

    void start_attempt(attempt_id id, const backend_request& request) override
    {
        attempts.emplace_back(id, request);
    }

    void cancel_attempt(attempt_id id) override
    {
        cancelled_attempts.push_back(id);
    }

    void reply(ordinal, const shard_reply& reply) override
    {
        replies.push_back(reply);
    }

    bool is_usable(ordinal owner) const override
    {
        return !unusable.contains(owner);
    }

    void on_refusal(reason why, rank) override
    {
        ++refusals[why];
    }

    void on_retry(reason why, rank) override
    {
        ++retries[why];
    }

    void on_hedge(rank) override
    {
        ++hedges;
    }

    std::vector<std::pair<ordinal, search_batch>> batches;
    std::vector<ordinal> cancelled_owners;
    std::vector<search_answer> answers;
    std::vector<std::pair<attempt_id, backend_request>> attempts;
    std::vector<attempt_id> cancelled_attempts;
    std::vector<shard_reply> replies;
    std::set<ordinal> unusable;
    std::map<reason, std::size_t> refusals;
    std::map<reason, std::size_t> retries;
    std::size_t hedges = 0;
};

} // namespace turmericlane::tests
