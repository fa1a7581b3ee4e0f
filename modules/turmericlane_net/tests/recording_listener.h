#pragma once

#include <turmericlane_net/turmericlane_net.h>

#include <condition_variable>
#include <mutex>
#include <string>
#include <vector>

namespace turmericlane
{

/** Longest wait of a test. It only bounds a failing test. */
inline constexpr std::chrono::seconds test_patience{60};

/** Keeps the events of a network, and lets a test wait for them. */
class recording_listener final : public peer_listener
{
public:
    struct message
    {
        peer_identity from;
        frame_type type;
        std::vector<std::uint8_t> payload;
    };
    struct closing
    {
        peer_identity peer;
        reason why;
    };

    void on_connected(const peer_identity& peer) override
    {
        std::lock_guard lock(mutex_);
        connected_.push_back(peer);
        changed_.notify_all();
    }

    void on_message(
        const peer_identity& peer,
        frame_type type,
        std::span<const std::uint8_t> payload) override
    {
        std::lock_guard lock(mutex_);
        messages_.push_back({peer, type, {payload.begin(), payload.end()}});
        changed_.notify_all();
    }

    void on_closed(const peer_identity& peer, reason why) override
    {
        std::lock_guard lock(mutex_);
        closed_.push_back({peer, why});
        changed_.notify_all();
    }

    bool wait_connected(std::size_t count)
    {
        return wait([=, this] { return connected_.size() >= count; });
    }

    bool wait_messages(std::size_t count)
    {
        return wait([=, this] { return messages_.size() >= count; });
    }

    bool wait_closed(std::size_t count)
    {
        return wait([=, this] { return closed_.size() >= count; });
    }

    std::vector<peer_identity> connected()
    {
        std::lock_guard lock(mutex_);
        return connected_;
    }

    std::vector<message> messages()
    {
        std::lock_guard lock(mutex_);
        return messages_;
    }

    std::vector<closing> closed()
    {
        std::lock_guard lock(mutex_);
        return closed_;
    }

private:
    template <class Predicate>
    bool wait(Predicate reached)
    {
        std::unique_lock lock(mutex_);
        return changed_.wait_for(lock, test_patience, reached);
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<peer_identity> connected_;
    std::vector<message> messages_;
    std::vector<closing> closed_;
};

} // namespace turmericlane
