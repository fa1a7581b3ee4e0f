#include "sub_request_table.h"

#include <cassert>

namespace turmericlane
{

bool sub_request_table::known(ordinal entry, const search_batch& batch) const
{
    auto found = queries_.find(batch.id);
    if (found == queries_.end())
        return false;
    for (auto it = found->second; it != 0; it = batches_.find(it)->next)
    {
        const auto& other = *batches_.find(it);
        if (other.entry != entry || other.attempt != batch.attempt)
            continue;
        for (auto handle : other.parts)
        {
            const auto* part = parts_.find(handle);
            for (const auto& asked : batch.parts)
                if (part != nullptr && part->group->id == asked.group)
                    return true;
        }
    }
    return false;
}

std::uint64_t sub_request_table::add_batch(
    ordinal entry, const search_batch& batch, time_point deadline)
{
    auto handle = batches_.add();
    auto& made = *batches_.find(handle);
    made.entry = entry;
    made.id = batch.id;
    made.attempt = batch.attempt;
    made.work = batch.work;
    made.deadline = deadline;
    made.snapshot = batch.snapshot;
    made.limit = batch.limit;
    made.query = batch.query;
    made.parts.reserve(batch.parts.size());
    auto& first = queries_[batch.id];
    made.next = first;
    first = handle;
    return handle;
}

std::uint64_t sub_request_table::add_part(std::uint64_t batch)
{
    auto handle = parts_.add();
    parts_.find(handle)->batch = batch;
    auto& owner = *batches_.find(batch);
    owner.parts.push_back(handle);
    ++owner.parts_left;
    return handle;
}

void sub_request_table::remove_part(std::uint64_t handle)
{
    auto batch = parts_.find(handle)->batch;
    parts_.remove(handle);
    release(batch);
}

void sub_request_table::hold(std::uint64_t batch)
{
    ++batches_.find(batch)->parts_left;
}

void sub_request_table::release(std::uint64_t batch)
{
    if (--batches_.find(batch)->parts_left == 0)
        remove_batch(batch);
}

std::vector<std::uint64_t> sub_request_table::parts_of(query_id id) const
{
    std::vector<std::uint64_t> all;
    auto found = queries_.find(id);
    if (found == queries_.end())
        return all;
    for (auto it = found->second; it != 0; it = batches_.find(it)->next)
        append_parts(*batches_.find(it), all);
    return all;
}

std::vector<std::uint64_t>
sub_request_table::parts_of_entry(ordinal entry) const
{
    std::vector<std::uint64_t> all;
    batches_.for_each(
        [&](const batch_record& it)
        {
            if (it.entry == entry)
                append_parts(it, all);
        });
    return all;
}

void sub_request_table::append_parts(
    const batch_record& from, std::vector<std::uint64_t>& to) const
{
    for (auto it : from.parts)
        if (parts_.find(it) != nullptr)
            to.push_back(it);
}

void sub_request_table::remove_batch(std::uint64_t handle)
{
    const auto& batch = *batches_.find(handle);
    auto first = queries_.find(batch.id);
    assert(first != queries_.end());
    auto* link = &first->second;
    while (*link != handle)
        link = &batches_.find(*link)->next;
    *link = batch.next;
    if (first->second == 0)
        queries_.erase(first);
    batches_.remove(handle);
}

} // namespace turmericlane
