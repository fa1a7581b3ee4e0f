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
    clean = 0,
    failed_start = 1,
    wrong_settings = 2,
    requests_cut_off = 3
};

void start_log(const char* program, const instance_settings& settings)
{
    google::InitGoogleLogging(program);
    if (settings.log_folder.empty())
        FLAGS_logtostderr = true;
    else
        FLAGS_log_dir = settings.log_folder;
    // A crash loses at most this many seconds of the log.
    FLAGS_logbufsecs = 1;
}

/** Waits for signals on its own thread until the node has stopped, because
    almost nothing may be called inside a signal handler. */
class signal_waiter
{
public:
    explicit signal_waiter(instance_process& target)
        : target_(target)
    {
        sigemptyset(&signals_);
        for (auto it : {SIGTERM, SIGINT, SIGUSR1})
            sigaddset(&signals_, it);
        // Threads that are started from now on inherit the mask.
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
        int received = 0;
        while (sigwait(&signals_, &received) == 0 && received != SIGUSR1)
            target_.terminate();
    }

    instance_process& target_;
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
            return clean;
        std::cerr << "turmericlaned: " << settings.error() << '\n';
        return wrong_settings;
    }
    start_log(argv[0], *settings);
    // A peer that closes its connection must not end the process.
    std::signal(SIGPIPE, SIG_IGN);
    if (sodium_init() < 0)
    {
        std::cerr << "turmericlaned: libsodium can't be initialised\n";
        return failed_start;
    }
    instance_process instance(*settings);
    signal_waiter signals(instance);
    if (const auto why = instance.start())
    {
        log_event(event::start_failed, {{"detail", *why}});
        std::cerr << "turmericlaned: " << *why << '\n';
        return failed_start;
    }
    signals.start();
    const auto cut_off = instance.wait();
    signals.stop();
    instance.stop();
    if (cut_off > 0)
        return requests_cut_off;
    log_event(event::stopped, {});
    return clean;
}
