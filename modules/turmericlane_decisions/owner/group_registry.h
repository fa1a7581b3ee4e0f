#pragma once

#include "dispatch_records.h"

#include <turmericlane_bundle/turmericlane_bundle.h>

#include <memory>
#include <unordered_map>
#include <unordered_set>

namespace turmericlane
{

/** The groups and servers that an owner has to do with, built from the bundle
    when the first part for a group arrives.

    A server is the same record in every bundle, so that its requests in flight
    stay within its window across a repartition. Groups of an earlier epoch
    stay until they are idle.

    @see dispatch_engine
*/
class group_registry
{
public:
    /** Puts a bundle in force. */
    void on_bundle(std::shared_ptr<const bundle> in_force, time_point now);

    /** The list said that a server leaves or is back. */
    void on_listed(searcher_id id, bool leaving, time_point now);

    /** The group of that epoch, or of the epoch in force if that one is not
        known; null if the bundle has no such group. */
    group_state* find_group(group_id id, std::uint64_t epoch, time_point now);

    /** The server, or null if no request for its group has arrived. */
    backend_server* find_server(searcher_id id);

    /** Groups that a server belongs to. */
    std::span<group_state* const> groups_of(searcher_id id) const;

    /** Every group that a part has arrived for. */
    std::vector<group_state*> groups();

    /** Drops what a pause has made out of date. */
    void forget_views();

    /** The bundle in force; null at first. */
    const bundle* in_force() const
    {
        return in_force_.get();
    }

private:
    struct group_key
    {
        group_id id;
        std::uint64_t epoch = 0;

        friend bool operator==(const group_key&, const group_key&) = default;
    };

    struct key_hash
    {
        std::size_t operator()(const group_key& of) const noexcept
        {
            return std::hash<group_id>{}(of.id) ^
                   (of.epoch * 0x9e3779b97f4a7c15ULL);
        }
    };

    struct server_entry
    {
        std::unique_ptr<backend_server> server;
        std::vector<group_state*> groups;
    };

    void update(group_state& of, time_point now);
    void remove_idle_groups();
    void retire_missing_servers(time_point now);
    backend_server& server_for(
        const searcher& from, group_state& in, bool slowly, time_point now);

    std::shared_ptr<const bundle> in_force_;
    std::unordered_map<group_key, std::unique_ptr<group_state>, key_hash>
        groups_;
    std::unordered_map<searcher_id, server_entry> servers_;
    /** Servers that the list calls leaving, known here or not. */
    std::unordered_set<searcher_id> listed_leaving_;
};

} // namespace turmericlane
