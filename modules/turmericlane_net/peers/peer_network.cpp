#include "peer_network.h"

#include "io_threads.h"
#include "peer_client.h"
#include "peer_server.h"
#include "session_table.h"

#include <atomic>
#include <cassert>
#include <condition_variable>
#include <map>
#include <mutex>

namespace turmericlane
{

namespace
{

// Longest time for which stop waits for queued messages to be written to peers
// that read slowly.
constexpr std::chrono::seconds flush_timeout{1};

} // namespace

class peer_network::implementation final : public peer_session_listener
{
public:
    using tcp = boost::asio::ip::tcp;

    implementation(
        peer_settings settings,
        peer_listener& listener,
        instance_counters& counters)
        : settings_(std::move(settings))
        , listener_(listener)
        , counters_(counters)
        , threads_(settings_.threads)
        , server_(std::make_shared<peer_server>(
              threads_, [this](tcp::socket it) { accept(std::move(it)); }))
    {
    }

    std::optional<std::string> start()
    {
        auto start_error = server_->start(settings_.listen_address);
        if (start_error)
            return start_error;
        threads_.start();
        std::lock_guard lock(mutex_);
        is_running_ = true;
        for (auto& [address, client] : clients_)
            client->start();
        return std::nullopt;
    }

    void stop()
    {
        std::unique_lock lock(mutex_);
        if (!is_running_)
            return;
        is_running_ = false;
        server_->stop();
        for (auto& [address, client] : clients_)
            client->stop();
        clients_.clear();
        for (auto& it : table_.all_sessions())
            it->close_after_writes();
        auto is_empty = [this] { return table_.all_sessions().empty(); };
        session_removed_.wait_for(lock, flush_timeout, is_empty);
        for (auto& it : table_.all_sessions())
            it->close(reason::cancelled);
        lock.unlock();
        threads_.join();
    }

    bool connect(const peer_address& address)
    {
        boost::system::error_code ec;
        auto ip_address = boost::asio::ip::make_address(address.host, ec);
        if (ec)
            return false;
        std::lock_guard lock(mutex_);
        if (clients_.contains(address))
            return true;
        auto client = std::make_shared<peer_client>(
            threads_.next_context(), settings_,
            tcp::endpoint(ip_address, address.port),
            [this, address](tcp::socket it)
            { return make_session(std::move(it), address, true); },
            [this]
            { counters_.count_closed_connection(reason::connect_failed); });
        clients_.emplace(address, client);
        if (is_running_)
            client->start();
        return true;
    }

    void disconnect(const peer_address& address)
    {
        std::lock_guard lock(mutex_);
        auto it = clients_.find(address);
        if (it == clients_.end())
            return;
        if (is_running_)
            it->second->stop();
        clients_.erase(it);
    }

    template <class Target>
    bool send(const Target& recipient, const encoded_message& message)
    {
        if (message.payload.empty() || !table_.send(recipient, message))
            return false;
        counters_.count_sent_frames();
        return true;
    }

    void on_session_open(const std::shared_ptr<peer_session>& session) override
    {
        {
            std::lock_guard lock(mutex_);
            unproven_by_id_.erase(session->identity().session_id);
        }
        table_.mark_open(session);
        listener_.on_connected(session->identity());
    }

    void on_session_message(
        peer_session& session,
        frame_type type,
        std::span<const std::uint8_t> payload) override
    {
        counters_.count_received_frames();
        listener_.on_message(session.identity(), type, payload);
    }

    void on_session_closed(
        const std::shared_ptr<peer_session>& session,
        bool was_open,
        reason cause) override
    {
        table_.remove(session);
        counters_.count_closed_connection(cause);
        if (was_open)
            listener_.on_closed(session->identity(), cause);
        std::lock_guard lock(mutex_);
        unproven_by_id_.erase(session->identity().session_id);
        session_removed_.notify_all();
    }

    peer_settings settings_;
    peer_listener& listener_;
    instance_counters& counters_;
    io_threads threads_;
    session_table table_;
    std::shared_ptr<peer_server> server_;
    std::atomic<std::uint64_t> bundle_version_{0};

private:
    void accept(tcp::socket socket)
    {
        boost::system::error_code ec;
        auto peer_endpoint = socket.remote_endpoint(ec);
        if (ec)
            return counters_.count_closed_connection(reason::connection_lost);
        peer_address remote_address{
            peer_endpoint.address().to_string(), peer_endpoint.port()};
        auto session = make_session(std::move(socket), remote_address, false);
        if (!session)
            return;
        limit_unproven_sessions(session);
        session->start();
    }

    /** Lists a new session and closes the oldest one that has not proved its
        identity if there are too many. */
    void limit_unproven_sessions(const std::shared_ptr<peer_session>& session)
    {
        std::lock_guard lock(mutex_);
        unproven_by_id_.emplace(session->identity().session_id, session);
        if (unproven_by_id_.size() <= settings_.unproven_session_limit)
            return;
        const auto oldest = unproven_by_id_.begin();
        oldest->second->close(reason::peer_too_slow);
        unproven_by_id_.erase(oldest);
    }

    std::shared_ptr<peer_session> make_session(
        tcp::socket socket,
        const peer_address& remote_address,
        bool is_outgoing)
    {
        peer_identity identity;
        identity.session_id = next_session_id_.fetch_add(1);
        identity.remote_address = remote_address;
        identity.is_outgoing = is_outgoing;
        auto role =
            is_outgoing ? session_role::initiator : session_role::acceptor;
        auto session = std::make_shared<peer_session>(
            std::move(socket), role, settings_, *this, std::move(identity),
            bundle_version_.load());
        std::lock_guard lock(mutex_);
        if (!is_running_ || !table_.add(session, settings_.session_limit))
        {
            counters_.count_closed_connection(reason::queue_full);
            return nullptr;
        }
        return session;
    }

    std::atomic<std::uint64_t> next_session_id_{1};
    std::mutex mutex_;
    // Guarded by mutex_.
    std::condition_variable session_removed_;
    std::map<peer_address, std::shared_ptr<peer_client>> clients_;
    /** Incoming sessions that are not open yet, in the order of their ids,
       which is that of their arrival. */
    std::map<std::uint64_t, std::shared_ptr<peer_session>> unproven_by_id_;
    bool is_running_ = false;
};

peer_network::peer_network(
    peer_settings settings,
    peer_listener& listener,
    instance_counters& counters)
{
    assert(!settings.keys.empty());
    assert(settings.threads >= 1);
    implementation_ = std::make_unique<implementation>(
        std::move(settings), listener, counters);
}

peer_network::~peer_network()
{
    stop();
}

std::optional<std::string> peer_network::start()
{
    return implementation_->start();
}

void peer_network::stop()
{
    implementation_->stop();
}

std::uint16_t peer_network::port() const noexcept
{
    return implementation_->server_->port();
}

void peer_network::set_bundle_version(std::uint64_t version) noexcept
{
    implementation_->bundle_version_.store(version);
}

bool peer_network::connect(const peer_address& address)
{
    return implementation_->connect(address);
}

void peer_network::disconnect(const peer_address& address)
{
    implementation_->disconnect(address);
}

bool peer_network::send(ordinal recipient, const encoded_message& message)
{
    return implementation_->send(recipient, message);
}

bool peer_network::send(
    const peer_address& recipient, const encoded_message& message)
{
    return implementation_->send(recipient, message);
}

bool peer_network::send_to_session(
    std::uint64_t session_id, const encoded_message& message)
{
    return implementation_->send(session_id, message);
}

void peer_network::close_session(std::uint64_t session_id)
{
    auto session = implementation_->table_.find(session_id);
    if (session)
        session->close(reason::cancelled);
}

bool peer_network::is_connected(ordinal instance) const
{
    return implementation_->table_.has_open_session(instance);
}

std::size_t peer_network::session_count() const
{
    return implementation_->table_.open_count();
}

} // namespace turmericlane
