#pragma once

#include "dispatch_records.h"

#include <turmericlane_bundle/turmericlane_bundle.h>

#include <memory>
#include <unordered_map>
#include <unordered_set>

namespace turmericlane
{

/** The groups and backend servers of an owner. A group is created from the
    active bundle when the first sub-request for it arrives.

    A server keeps its record when the bundle changes, so that its attempts in
    flight stay within their limit across a repartition. Groups of an earlier
    epoch stay until they are idle.

    @see dispatch_engine
*/
class group_registry
{
public:
    /** Makes a bundle the active one and updates groups and servers. */
    void on_bundle(std::shared_ptr<const bundle> new_bundle, time_point now);

    /** Records that the list of searchers shows a server as leaving or as back
        in service. */
    void on_listed_leaving(searcher_id id, bool is_leaving, time_point now);

    /** Returns the group of an epoch; without one, the group of the active
        epoch, which is added if necessary. Null if the active bundle has no
        such group. */
    group_state*
    find_or_add_group(group_id id, std::uint64_t epoch, time_point now);

    /** Returns a server, or null if no sub-request for one of its groups has
        arrived. */
    backend_server* find_server(searcher_id id);

    /** Returns the groups that a server belongs to. */
    std::span<group_state* const> groups_of_server(searcher_id id) const;

    /** Returns every group that a sub-request has arrived for. */
    std::vector<group_state*> groups();

    /** Resets the measurements of all servers and groups, which a pause of the
        process has made out of date. */
    void reset_measurements();

    /** Returns the active bundle; null before the first one. */
    const bundle* active_bundle() const
    {
        return active_bundle_.get();
    }

private:
    struct group_key
    {
        group_id id;
        std::uint64_t epoch = 0;

        friend bool operator==(const group_key&, const group_key&) = default;
    };

    struct group_key_hash
    {
        std::size_t operator()(const group_key& key) const noexcept
        {
            return std::hash<group_id>{}(key.id) ^
                   (key.epoch * 0x9e3779b97f4a7c15ULL);
        }
    };

    struct server_record
    {
        std::unique_ptr<backend_server> server;
        std::vector<group_state*> groups;
    };

    void update_group(group_state& group, time_point now);
    void remove_idle_groups();
    void retire_missing_servers(time_point now);
    backend_server& find_or_add_server(
        const searcher& listed_searcher,
        group_state& group,
        bool needs_slow_start,
        time_point now);

    std::shared_ptr<const bundle> active_bundle_;
    std::unordered_map<group_key, std::unique_ptr<group_state>, group_key_hash>
        groups_;
    std::unordered_map<searcher_id, server_record> servers_;
    /** Servers that the list of searchers shows as leaving, with or without a
        record here. */
    std::unordered_set<searcher_id> listed_leaving_;
};

} // namespace turmericlane
