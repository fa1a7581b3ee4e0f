#pragma once

#include "dispatch_records.h"

#include <unordered_map>

namespace turmericlane
{

/** The batches and sub-requests that an owner has not answered.

    @see dispatch_engine
*/
class sub_request_table
{
public:
    /** True if a sub-request of this batch is in the table already, as the
        message was delivered twice. */
    bool is_duplicate(ordinal entry, const search_batch& batch) const;

    /** Adds a batch without sub-requests and returns its handle. */
    std::uint64_t
    add_batch(ordinal entry, const search_batch& batch, time_point deadline);

    /** Adds a sub-request to a batch and returns its handle. */
    std::uint64_t add_sub_request(std::uint64_t batch_handle);

    /** Removes a sub-request. The batch is removed with its last sub-request,
        unless it is retained. */
    void remove_sub_request(std::uint64_t handle);

    /** Keeps a batch while its sub-requests are added. */
    void retain(std::uint64_t batch_handle);

    /** Ends retain; removes the batch if it has no sub-request. */
    void release(std::uint64_t batch_handle);

    /** Returns a sub-request, or null if it was removed. */
    sub_request_record* find(std::uint64_t handle)
    {
        return sub_requests_.find(handle);
    }

    /** Returns a sub-request, which must be in the table. */
    sub_request_record& at(std::uint64_t handle)
    {
        return *sub_requests_.find(handle);
    }

    /** Returns the batch of a sub-request. */
    const batch_record& batch_of(const sub_request_record& sub_request) const
    {
        return *batches_.find(sub_request.batch_handle);
    }

    /** Returns a batch, which must be in the table. */
    const batch_record& batch(std::uint64_t handle) const
    {
        return *batches_.find(handle);
    }

    /** Returns the handles of all sub-requests of a query. */
    std::vector<std::uint64_t> sub_requests_of_query(query_id id) const;

    /** Returns the handles of all sub-requests of an entry. It visits every
        batch, so call it only when the connection to an entry is lost. */
    std::vector<std::uint64_t> sub_requests_of_entry(ordinal entry) const;

private:
    void append_sub_requests(
        const batch_record& batch, std::vector<std::uint64_t>& handles) const;
    void remove_batch(std::uint64_t handle);

    slot_map<batch_record> batches_;
    slot_map<sub_request_record> sub_requests_;
    /** First batch of each query; batch_record::next_batch links the others. */
    std::unordered_map<query_id, std::uint64_t> queries_;
};

} // namespace turmericlane
