#include "sub_request_table.h"

#include <cassert>

namespace turmericlane
{

bool sub_request_table::is_duplicate(
    ordinal entry, const search_batch& batch) const
{
    auto query_it = queries_.find(batch.id);
    if (query_it == queries_.end())
        return false;
    for (auto it = query_it->second; it != 0;
         it = batches_.find(it)->next_batch)
    {
        const auto& other = *batches_.find(it);
        if (other.entry != entry || other.attempt != batch.attempt)
            continue;
        for (auto handle : other.sub_requests)
        {
            const auto* sub_request = sub_requests_.find(handle);
            for (const auto& requested_part : batch.parts)
                if (sub_request != nullptr &&
                    sub_request->group->id == requested_part.group)
                    return true;
        }
    }
    return false;
}

std::uint64_t sub_request_table::add_batch(
    ordinal entry, const search_batch& batch, time_point deadline)
{
    auto handle = batches_.add();
    auto& record = *batches_.find(handle);
    record.entry = entry;
    record.id = batch.id;
    record.attempt = batch.attempt;
    record.request_rank = batch.request_rank;
    record.deadline = deadline;
    record.snapshot = batch.snapshot;
    record.limit = batch.limit;
    record.query = batch.query;
    record.sub_requests.reserve(batch.parts.size());
    auto& first_batch = queries_[batch.id];
    record.next_batch = first_batch;
    first_batch = handle;
    return handle;
}

std::uint64_t sub_request_table::add_sub_request(std::uint64_t batch_handle)
{
    auto handle = sub_requests_.add();
    sub_requests_.find(handle)->batch_handle = batch_handle;
    auto& record = *batches_.find(batch_handle);
    record.sub_requests.push_back(handle);
    ++record.remaining_count;
    return handle;
}

void sub_request_table::remove_sub_request(std::uint64_t handle)
{
    auto batch_handle = sub_requests_.find(handle)->batch_handle;
    sub_requests_.remove(handle);
    release(batch_handle);
}

void sub_request_table::retain(std::uint64_t batch_handle)
{
    ++batches_.find(batch_handle)->remaining_count;
}

void sub_request_table::release(std::uint64_t batch_handle)
{
    if (--batches_.find(batch_handle)->remaining_count == 0)
        remove_batch(batch_handle);
}

std::vector<std::uint64_t>
sub_request_table::sub_requests_of_query(query_id id) const
{
    std::vector<std::uint64_t> handles;
    auto query_it = queries_.find(id);
    if (query_it == queries_.end())
        return handles;
    for (auto it = query_it->second; it != 0;
         it = batches_.find(it)->next_batch)
        append_sub_requests(*batches_.find(it), handles);
    return handles;
}

std::vector<std::uint64_t>
sub_request_table::sub_requests_of_entry(ordinal entry) const
{
    std::vector<std::uint64_t> handles;
    batches_.for_each(
        [&](const batch_record& it)
        {
            if (it.entry == entry)
                append_sub_requests(it, handles);
        });
    return handles;
}

void sub_request_table::append_sub_requests(
    const batch_record& batch, std::vector<std::uint64_t>& handles) const
{
    for (auto it : batch.sub_requests)
        if (sub_requests_.find(it) != nullptr)
            handles.push_back(it);
}

void sub_request_table::remove_batch(std::uint64_t handle)
{
    const auto& batch = *batches_.find(handle);
    auto query_it = queries_.find(batch.id);
    assert(query_it != queries_.end());
    auto* link = &query_it->second;
    while (*link != handle)
        link = &batches_.find(*link)->next_batch;
    *link = batch.next_batch;
    if (query_it->second == 0)
        queries_.erase(query_it);
    batches_.remove(handle);
}

} // namespace turmericlane
