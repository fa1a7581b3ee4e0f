#include "backend_fleet.h"
#include "bundle_file.h"
#include "config_service.h"
#include "instance_list.h"
#include "options.h"

#include <boost/asio/signal_set.hpp>

#include <exception>
#include <iostream>

#include <sys/resource.h>

namespace
{

using namespace turmericlane;
using namespace turmericlane::standins;

/** Raises the soft limit of open files to the hard limit, because the backend
    servers of one bundle have thousands of open connections. */
void raise_file_limit()
{
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0)
        return;
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
}

void add_servers(backend_fleet& fleet, const bundle& content, bool zero_work)
{
    for (const auto& service : content.services)
        for (const auto& group : service.groups)
            for (const auto& it : group.searchers)
                fleet.add(
                    {it.id, it.address, it.port, service.name, group.partition,
                     service.epoch, service.slots, service.connection_limit,
                     service.connect_cost, service.bookable},
                    zero_work);
}

/** Runs the handlers of a context until SIGINT or SIGTERM.
    @returns the exit code */
int run_until_signal(boost::asio::io_context& context)
{
    boost::asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([&](auto, int) { context.stop(); });
    std::cout << "ready" << std::endl;
    context.run();
    return 0;
}

int run_backends(const options& settings)
{
    auto content = load_bundle_file(settings.bundle_path);
    if (!content)
    {
        std::cerr << content.error() << '\n';
        return 2;
    }
    backend_records records(
        settings.seed, settings.service_time, settings.sigma);
    boost::asio::io_context context(1);
    backend_fleet fleet(context, settings.control_port, records);
    add_servers(fleet, *content, settings.zero_work);
    fleet.open();
    return run_until_signal(context);
}

int run_config_service(const options& settings)
{
    boost::asio::io_context context(1);
    config_service service(context, settings.port, settings.reads_per_second);
    service.open();
    return run_until_signal(context);
}

int run_instance_list(const options& settings)
{
    boost::asio::io_context context(1);
    instance_list list(context, settings.port, settings.lag);
    list.open();
    return run_until_signal(context);
}

} // namespace

int main(int argc, char** argv)
{
    auto settings = parse_options(argc, argv);
    if (!settings)
        return 2;
    if (settings->command == "help")
    {
        std::cout << usage();
        return 0;
    }
    raise_file_limit();
    try
    {
        if (settings->command == "backends")
            return run_backends(*settings);
        if (settings->command == "config")
            return run_config_service(*settings);
        return run_instance_list(*settings);
    }
    catch (const std::exception& ex)
    {
        std::cerr << "turmericlane_standins: " << ex.what() << '\n';
        return 1;
    }
}
