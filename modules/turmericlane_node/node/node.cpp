#include "node.h"

#include "../http/http_service.h"
#include "../log/event.h"

#include <sodium.h>

namespace turmericlane
{

namespace
{

std::uint64_t draw_nonce()
{
    // Zero stands for "no instance" in some messages.
    std::uint64_t nonce = 0;
    while (nonce == 0)
        randombytes_buf(&nonce, sizeof nonce);
    return nonce;
}

} // namespace

class node::implementation
{
public:
    explicit implementation(node_settings settings)
        : settings_(std::move(settings))
        , nonce_(draw_nonce())
        , counters_(registry_)
        , shutdown_(std::make_shared<shutdown_service>(settings_))
    {
        kernel_.add(std::make_shared<engine>());
        kernel_.add(
            std::make_shared<peer_service>(settings_, nonce_, counters_));
        kernel_.add(
            std::make_shared<member_service>(settings_, nonce_, counters_));
        kernel_.add(
            std::make_shared<version_service>(settings_, nonce_, counters_));
        kernel_.add(std::make_shared<backend_service>(settings_));
        kernel_.add(
            std::make_shared<search_service>(settings_, nonce_, counters_));
        kernel_.add(
            std::make_shared<booking_service>(settings_, nonce_, counters_));
        kernel_.add(shutdown_);
        kernel_.add(std::make_shared<http_service>(
            settings_, nonce_, registry_, counters_));
    }

    std::optional<std::string> start()
    {
        auto why = kernel_.start();
        if (!why)
            log_event(
                event::started,
                {{"instance", settings_.address + ":" +
                                  std::to_string(settings_.http_port)},
                 {"ordinal", std::to_string(settings_.index)},
                 {"nonce", std::to_string(nonce_)},
                 {"data_centre", settings_.data_centre}});
        return why;
    }

    node_settings settings_;
    std::uint64_t nonce_;
    metrics_registry registry_;
    instance_counters counters_;
    std::shared_ptr<shutdown_service> shutdown_;
    kernel kernel_;
};

node::node(node_settings settings)
    : implementation_(std::make_unique<implementation>(std::move(settings)))
{
}

node::~node() = default;

std::optional<std::string> node::start()
{
    return implementation_->start();
}

void node::terminate()
{
    implementation_->shutdown_->terminate();
}

std::size_t node::wait()
{
    return implementation_->shutdown_->wait();
}

void node::stop()
{
    implementation_->kernel_.stop();
}

} // namespace turmericlane
