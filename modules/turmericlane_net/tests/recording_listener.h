#pragma once

#include <turmericlane_net/turmericlane_net.h>

#include <condition_variable>
#include <mutex>
#include <string>
#include <vector>

namespace turmericlane
{

/** Longest time for which a test waits. Only a failing test waits that long. */
inline constexpr std::chrono::seconds test_timeout{60};

/** Records the events of a peer_network, and lets a test wait for them. */
class recording_listener final : public peer_listener
{
public:
    struct message
    {
        peer_identity sender;
        frame_type type;
        std::vector<std::uint8_t> payload;
    };
    struct closed_session
    {
        peer_identity peer;
        reason cause;
    };

    void on_connected(const peer_identity& peer) override
    {
        std::lock_guard lock(mutex_);
        connected_peers_.push_back(peer);
        event_recorded_.notify_all();
    }

    void on_message(
        const peer_identity& peer,
        frame_type type,
        std::span<const std::uint8_t> payload) override
    {
        std::lock_guard lock(mutex_);
        messages_.push_back({peer, type, {payload.begin(), payload.end()}});
        event_recorded_.notify_all();
    }

    void on_closed(const peer_identity& peer, reason cause) override
    {
        std::lock_guard lock(mutex_);
        closed_sessions_.push_back({peer, cause});
        event_recorded_.notify_all();
    }

    bool wait_for_connections(std::size_t count)
    {
        return wait([=, this] { return connected_peers_.size() >= count; });
    }

    bool wait_for_messages(std::size_t count)
    {
        return wait([=, this] { return messages_.size() >= count; });
    }

    bool wait_for_closed_sessions(std::size_t count)
    {
        return wait([=, this] { return closed_sessions_.size() >= count; });
    }

    std::vector<peer_identity> connected_peers()
    {
        std::lock_guard lock(mutex_);
        return connected_peers_;
    }

    std::vector<message> messages()
    {
        std::lock_guard lock(mutex_);
        return messages_;
    }

    std::vector<closed_session> closed_sessions()
    {
        std::lock_guard lock(mutex_);
        return closed_sessions_;
    }

private:
    template <class Predicate>
    bool wait(Predicate condition)
    {
        std::unique_lock lock(mutex_);
        return event_recorded_.wait_for(lock, test_timeout, condition);
    }

    std::mutex mutex_;
    std::condition_variable event_recorded_;
    std::vector<peer_identity> connected_peers_;
    std::vector<message> messages_;
    std::vector<closed_session> closed_sessions_;
};

} // namespace turmericlane
