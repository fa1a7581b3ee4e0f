#include <turmericlane_node/turmericlane_node.h>

#include <glog/logging.h>

#include <sodium.h>

#include <csignal>
#include <iostream>
#include <thread>

namespace
{

using namespace turmericlane;

enum exit_code
{
    exit_ok = 0,
    exit_failed_start = 1,
    exit_wrong_settings = 2,
    exit_requests_cut_off = 3
};

void start_logging(const char* program, const instance_settings& settings)
{
    google::InitGoogleLogging(program);
    if (settings.log_folder.empty())
        FLAGS_logtostderr = true;
    else
        FLAGS_log_dir = settings.log_folder;
    // A crash loses at most the log lines of this many seconds.
    FLAGS_logbufsecs = 1;
}

/** Waits for signals on a thread of its own until the instance has stopped. A
    signal handler could not end the instance, since it may call only
    async-signal-safe functions. */
class signal_waiter
{
public:
    explicit signal_waiter(instance_process& instance)
        : instance_(instance)
    {
        sigemptyset(&signals_);
        for (auto it : {SIGTERM, SIGINT, SIGUSR1})
            sigaddset(&signals_, it);
        // Threads started after this inherit the mask.
        pthread_sigmask(SIG_BLOCK, &signals_, nullptr);
    }

    void start()
    {
        thread_ = std::thread([this] { run(); });
    }

    void stop()
    {
        pthread_kill(thread_.native_handle(), SIGUSR1);
        thread_.join();
    }

private:
    void run()
    {
        int signal_number = 0;
        while (sigwait(&signals_, &signal_number) == 0 &&
               signal_number != SIGUSR1)
            instance_.terminate();
    }

    instance_process& instance_;
    sigset_t signals_{};
    std::thread thread_;
};

} // namespace

int main(int argc, char** argv)
{
    const auto settings = read_instance_settings(
        std::span<const char* const>(argv, static_cast<std::size_t>(argc)),
        std::cout);
    if (!settings)
    {
        if (settings.error().empty())
            return exit_ok;
        std::cerr << "turmericlaned: " << settings.error() << '\n';
        return exit_wrong_settings;
    }
    start_logging(argv[0], *settings);
    // Writing to a connection that the other side has closed must not end the
    // process.
    std::signal(SIGPIPE, SIG_IGN);
    if (sodium_init() < 0)
    {
        std::cerr << "turmericlaned: libsodium can't be initialised\n";
        return exit_failed_start;
    }
    instance_process instance(*settings);
    signal_waiter signals(instance);
    if (const auto error = instance.start())
    {
        log_event(event::start_failed, {{"detail", *error}});
        std::cerr << "turmericlaned: " << *error << '\n';
        return exit_failed_start;
    }
    signals.start();
    const auto unfinished_count = instance.wait();
    signals.stop();
    instance.stop();
    if (unfinished_count > 0)
        return exit_requests_cut_off;
    log_event(event::stopped, {});
    return exit_ok;
}
