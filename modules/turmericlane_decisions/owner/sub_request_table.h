#pragma once

#include "dispatch_records.h"

#include <unordered_map>

namespace turmericlane
{

/** The batches and parts that an owner has not answered.

    @see dispatch_engine
*/
class sub_request_table
{
public:
    /** True if a part of the batch is here already: the message came twice. */
    bool known(ordinal entry, const search_batch& batch) const;

    /** Adds a batch without parts. */
    std::uint64_t
    add_batch(ordinal entry, const search_batch& batch, time_point deadline);

    /** Adds a part to a batch. */
    std::uint64_t add_part(std::uint64_t batch);

    /** Removes a part. A batch goes with its last part, unless it is held. */
    void remove_part(std::uint64_t handle);

    /** Keeps a batch while its parts are added. */
    void hold(std::uint64_t batch);

    /** Ends hold; removes the batch if it has no part. */
    void release(std::uint64_t batch);

    /** The part, or null if it was removed. */
    sub_request_record* find(std::uint64_t handle)
    {
        return parts_.find(handle);
    }

    /** The part, which must be there. */
    sub_request_record& at(std::uint64_t handle)
    {
        return *parts_.find(handle);
    }

    /** The batch of a part. */
    const batch_record& batch_of(const sub_request_record& part) const
    {
        return *batches_.find(part.batch);
    }

    /** The batch, which must be there. */
    const batch_record& batch(std::uint64_t handle) const
    {
        return *batches_.find(handle);
    }

    /** Handles of all parts of a query. */
    std::vector<std::uint64_t> parts_of(query_id id) const;

    /** Handles of all parts that an entry asked for. It looks at every batch,
        which is right for the loss of a connection only. */
    std::vector<std::uint64_t> parts_of_entry(ordinal entry) const;

private:
    void append_parts(
        const batch_record& from, std::vector<std::uint64_t>& to) const;
    void remove_batch(std::uint64_t handle);

    slot_map<batch_record> batches_;
    slot_map<sub_request_record> parts_;
    /** First batch of each query; the others follow by batch_record::next. */
    std::unordered_map<query_id, std::uint64_t> queries_;
};

} // namespace turmericlane
