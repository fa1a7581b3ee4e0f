#include "instance_process.h"

#include "../http/http_service.h"
#include "../log/event.h"

#include <sodium.h>

namespace turmericlane
{

namespace
{

std::uint64_t generate_nonce()
{
    // Some messages use zero for "no instance".
    std::uint64_t nonce = 0;
    while (nonce == 0)
        randombytes_buf(&nonce, sizeof nonce);
    return nonce;
}

} // namespace

class instance_process::implementation
{
public:
    explicit implementation(instance_settings settings)
        : settings_(std::move(settings))
        , nonce_(generate_nonce())
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
        auto error = kernel_.start();
        if (!error)
            log_event(
                event::started,
                {{"instance", settings_.address + ":" +
                                  std::to_string(settings_.http_port)},
                 {"ordinal", std::to_string(settings_.index)},
                 {"nonce", std::to_string(nonce_)},
                 {"data_centre", settings_.data_centre}});
        return error;
    }

    instance_settings settings_;
    std::uint64_t nonce_;
    metrics_registry registry_;
    instance_counters counters_;
    std::shared_ptr<shutdown_service> shutdown_;
    kernel kernel_;
};

instance_process::instance_process(instance_settings settings)
    : implementation_(std::make_unique<implementation>(std::move(settings)))
{
}

instance_process::~instance_process() = default;

std::optional<std::string> instance_process::start()
{
    return implementation_->start();
}

void instance_process::terminate()
{
    implementation_->shutdown_->terminate();
}

std::size_t instance_process::wait()
{
    return implementation_->shutdown_->wait();
}

void instance_process::stop()
{
    implementation_->kernel_.stop();
}

} // namespace turmericlane
