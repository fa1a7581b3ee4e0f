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

// Bound on the time that stop waits for queued messages to be written to peers
// that read slowly.
constexpr std::chrono::seconds flush_limit{1};

} // namespace

class peer_network::implementation final : public session_host
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
        auto failure = server_->start(settings_.listen);
        if (failure)
            return failure;
        threads_.start();
        std::lock_guard lock(mutex_);
        running_ = true;
        for (auto& [address, client] : clients_)
            client->start();
        return std::nullopt;
    }

    void stop()
    {
        std::unique_lock lock(mutex_);
        if (!running_)
            return;
        running_ = false;
        server_->stop();
        for (auto& [address, client] : clients_)
            client->stop();
        clients_.clear();
        for (auto& it : table_.all())
            it->finish();
        auto empty = [this] { return table_.all().empty(); };
        session_removed_.wait_for(lock, flush_limit, empty);
        for (auto& it : table_.all())
            it->close(reason::cancelled);
        lock.unlock();
        threads_.join();
    }

    bool connect(const peer_address& to)
    {
        boost::system::error_code ec;
        auto address = boost::asio::ip::make_address(to.host, ec);
        if (ec)
            return false;
        std::lock_guard lock(mutex_);
        if (clients_.contains(to))
            return true;
        auto client = std::make_shared<peer_client>(
            threads_.next(), settings_, tcp::endpoint(address, to.port),
            [this, to](tcp::socket it)
            { return make_session(std::move(it), to, true); },
            [this]
            { counters_.count_closed_connection(reason::connect_failed); });
        clients_.emplace(to, client);
        if (running_)
            client->start();
        return true;
    }

    void disconnect(const peer_address& from)
    {
        std::lock_guard lock(mutex_);
        auto it = clients_.find(from);
        if (it == clients_.end())
            return;
        if (running_)
            it->second->stop();
        clients_.erase(it);
    }

    template <class Target>
    bool send(const Target& to, const encoded_message& message)
    {
        if (message.payload.empty() || !table_.send(to, message))
            return false;
        counters_.count_sent_frames();
        return true;
    }

    void on_session_open(const std::shared_ptr<peer_session>& session) override
    {
        table_.open(session);
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
        reason why) override
    {
        table_.remove(session);
        counters_.count_closed_connection(why);
        if (was_open)
            listener_.on_closed(session->identity(), why);
        std::lock_guard lock(mutex_);
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
        auto remote = socket.remote_endpoint(ec);
        if (ec)
            return counters_.count_closed_connection(reason::connection_lost);
        peer_address from{remote.address().to_string(), remote.port()};
        auto session = make_session(std::move(socket), from, false);
        if (session)
            session->start();
    }

    std::shared_ptr<peer_session>
    make_session(tcp::socket socket, const peer_address& remote, bool outgoing)
    {
        peer_identity identity;
        identity.session = next_session_.fetch_add(1);
        identity.remote = remote;
        identity.outgoing = outgoing;
        auto role = outgoing ? session_role::initiator : session_role::acceptor;
        auto made = std::make_shared<peer_session>(
            std::move(socket), role, settings_, *this, std::move(identity),
            bundle_version_.load());
        std::lock_guard lock(mutex_);
        if (!running_ || !table_.add(made, settings_.session_limit))
        {
            counters_.count_closed_connection(reason::queue_full);
            return nullptr;
        }
        return made;
    }

    std::atomic<std::uint64_t> next_session_{1};
    std::mutex mutex_;
    // Guarded by mutex_.
    std::condition_variable session_removed_;
    std::map<peer_address, std::shared_ptr<peer_client>> clients_;
    bool running_ = false;
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

bool peer_network::connect(const peer_address& to)
{
    return implementation_->connect(to);
}

void peer_network::disconnect(const peer_address& from)
{
    implementation_->disconnect(from);
}

bool peer_network::send(ordinal to, const encoded_message& message)
{
    return implementation_->send(to, message);
}

bool peer_network::send(const peer_address& to, const encoded_message& message)
{
    return implementation_->send(to, message);
}

bool peer_network::send_to_session(
    std::uint64_t session, const encoded_message& message)
{
    return implementation_->send(session, message);
}

void peer_network::close_session(std::uint64_t session)
{
    auto found = implementation_->table_.find(session);
    if (found)
        found->close(reason::cancelled);
}

bool peer_network::connected(ordinal with) const
{
    return implementation_->table_.connected(with);
}

std::size_t peer_network::session_count() const
{
    return implementation_->table_.open_count();
}

} // namespace turmericlane
