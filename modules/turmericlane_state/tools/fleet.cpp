#include "fleet.h"

#include <cassert>

namespace turmericlane::tools
{

namespace
{

// Bytes of the frame header, the common message header and the MAC.
constexpr std::size_t frame_bytes = 72;

} // namespace

class fleet::process final : public membership_actions,
                             public version_spread_actions,
                             public platform_actions
{
public:
    process(fleet& simulation, std::size_t index, const member& own_entry)
        : simulation_(simulation)
        , index_(index)
        , table(
              own_entry,
              simulation.options_.membership,
              own_entry.nonce,
              simulation.clock_,
              *this)
        , spread(
              simulation.options_.versions,
              own_entry.nonce,
              simulation.clock_,
              *this)
        , reader(
              simulation.options_.platform,
              own_entry.nonce,
              simulation.clock_,
              *this)
    {
    }

    void
    send(const endpoint& receiver, const membership_message& message) override
    {
        auto entry = simulation_.indexes_by_address_.find(receiver.address);
        if (entry == simulation_.indexes_by_address_.end())
            return;
        auto bytes = encoded_bytes(message);
        if (message.kind >= membership_message::type::exchange)
            simulation_.counts_.exchange_bytes += bytes;
        auto version = spread.version_in_force();
        simulation_.transmit(
            index_, entry->second, 0, bytes,
            [message, version](process& it)
            {
                it.table.on_message(message);
                it.spread.on_version_seen(message.sender.nonce, version);
            });
    }

    void on_member_changed(const member&) override
    {
        is_reader_check_needed_ = true;
    }

    void on_process_paused(duration) override
    {
        ++simulation_.counts_.pauses;
        reader.read_once();
    }

    std::vector<std::uint64_t> sample(std::size_t count) override
    {
        std::vector<std::uint64_t> nonces;
        for (const auto& it : table.sample(count))
            nonces.push_back(it.nonce);
        return nonces;
    }

    void push(std::uint64_t peer, std::uint64_t version) override
    {
        send_bundle(peer, version);
    }

    void request(std::uint64_t peer, std::uint64_t in_force) override
    {
        auto own_nonce = table.self().nonce;
        send_to_peer(
            peer, frame_bytes,
            [own_nonce, in_force](process& it)
            {
                if (it.spread.version_in_force() > in_force)
                    it.send_bundle(own_nonce, it.spread.version_in_force());
            });
    }

    void read(std::uint64_t known_version, duration wait_time) override
    {
        ++simulation_.counts_.platform_reads;
        poll(known_version, simulation_.clock_.now() + wait_time);
    }

    void accept(std::uint64_t version, std::uint64_t sender)
    {
        if (version <= spread.version_in_force())
        {
            ++simulation_.counts_.refused_versions;
            if (sender != 0)
                spread.on_request_failed(sender);
            return;
        }
        version_time = simulation_.clock_.now();
        reader.set_version_in_force(version);
        spread.on_version_in_force(version, sender);
    }

    /** @param is_sent  true if the answer contains the platform's version */
    void on_platform_answer(bool is_sent)
    {
        auto version = simulation_.published_version_;
        auto is_older = version < spread.version_in_force();
        if (is_sent)
            accept(version, 0);
        if (is_older && (is_sent || reader.is_checking()))
            ++simulation_.counts_.older_versions;
        if (is_sent && is_older)
            reader.on_refused_bundle();
        else if (reader.is_checking() && !is_sent)
            reader.on_older_version();
        else
            reader.on_answer();
    }

    void run_timers()
    {
        table.on_timer();
        if (std::exchange(is_reader_check_needed_, false))
            reader.set_watching(table.is_reader());
        spread.on_timer();
        reader.on_timer();
    }

    time_point next_wakeup() const
    {
        auto wakeup_time = std::min(table.next_wakeup(), spread.next_wakeup());
        return std::min(wakeup_time, reader.next_wakeup());
    }

private:
    void send_to_peer(
        std::uint64_t peer,
        std::size_t bytes,
        const std::function<void(process&)>& action)
    {
        auto receiver = table.find_by_nonce(peer);
        if (!receiver)
            return;
        auto receiver_index = simulation_.indexes_by_address_.at(
            receiver->listen_endpoint.address);
        simulation_.transmit(index_, receiver_index, peer, bytes, action);
    }

    void send_bundle(std::uint64_t peer, std::uint64_t version)
    {
        auto own_nonce = table.self().nonce;
        send_to_peer(
            peer, frame_bytes + simulation_.options_.bundle_bytes,
            [own_nonce, version](process& it)
            { it.accept(version, own_nonce); });
    }

    /** Simulates a long poll, which is answered some milliseconds after a
        publication. */
    void poll(std::uint64_t known_version, time_point end_time)
    {
        constexpr auto poll_interval = std::chrono::milliseconds(5);
        auto own_nonce = table.self().nonce;
        auto index = index_;
        auto& simulation = simulation_;
        simulation.schedule_event(
            simulation.clock_.now() + poll_interval,
            [&simulation, index, own_nonce, known_version, end_time]
            {
                auto answer =
                    [&simulation, known_version, end_time](process& it)
                {
                    auto is_sent =
                        simulation.is_platform_pushing_ ||
                        simulation.published_version_ > known_version;
                    bool is_finished = !simulation.is_platform_up_ || is_sent ||
                                       simulation.clock_.now() >= end_time;
                    if (!is_finished)
                        return it.poll(known_version, end_time);
                    if (!simulation.is_platform_up_)
                        return it.reader.on_failure();
                    it.on_platform_answer(is_sent);
                };
                simulation.deliver(index, own_nonce, answer);
            });
    }

    fleet& simulation_;
    std::size_t index_;
    bool is_reader_check_needed_ = true;

public:
    membership_table table;
    version_spread spread;
    platform_reader reader;
    time_point version_time{};
    time_point timer_time = time_point::max();
    bool is_paused = false;
    std::deque<std::function<void()>> queued_actions;
};

fleet::fleet(const fleet_options& options)
    : options_(options)
    , random_(options.seed)
    , processes_(options.instance_count)
{
    for (std::size_t n = 0; n < options.instance_count; ++n)
        indexes_by_address_[make_member(n, 1).listen_endpoint.address] = n;
}

fleet::~fleet() = default;

void fleet::start(std::size_t index)
{
    assert(!processes_.at(index));
    auto nonce = random_() | 1U;
    processes_[index] =
        std::make_unique<process>(*this, index, make_member(index, nonce));
    // A random delay keeps the periods of the processes out of phase.
    auto period = options_.membership.period.count();
    auto delay = duration(static_cast<duration::rep>(random_() % period));
    schedule_event(
        clock_.now() + delay,
        [this, index, nonce] { deliver(index, nonce, [](process&) {}); });
}

void fleet::crash(std::size_t index)
{
    processes_.at(index).reset();
}

void fleet::pause(std::size_t index)
{
    processes_.at(index)->is_paused = true;
}

void fleet::resume(std::size_t index)
{
    auto& it = *processes_.at(index);
    it.is_paused = false;
    auto queued_actions = std::exchange(it.queued_actions, {});
    for (const auto& action : queued_actions)
        action();
    schedule_timers(index);
}

void fleet::connect_if(std::function<bool(std::size_t, std::size_t)> predicate)
{
    is_connected_ = std::move(predicate);
}

void fleet::set_fault_rates(double loss_rate, double duplicate_rate)
{
    options_.loss_rate = loss_rate;
    options_.duplicate_rate = duplicate_rate;
}

void fleet::publish(std::uint64_t version)
{
    published_version_ = version;
}

void fleet::set_platform_pushing(bool is_pushing)
{
    is_platform_pushing_ = is_pushing;
}

void fleet::set_platform_up(bool is_up)
{
    is_platform_up_ = is_up;
}

void fleet::read_list(std::size_t index)
{
    std::vector<std::size_t> running_indexes;
    for (std::size_t n = 0; n < processes_.size(); ++n)
        if (processes_[n])
            running_indexes.push_back(n);
    read_list(index, running_indexes);
}

void fleet::read_list(
    std::size_t index, std::span<const std::size_t> listed_indexes)
{
    std::vector<listed_instance> listed_instances;
    for (auto n : listed_indexes)
    {
        auto it = make_member(n, 1);
        listed_instances.push_back(
            {it.listen_endpoint, it.data_centre, it.index, false});
    }
    processes_.at(index)->table.on_instance_list(listed_instances);
}

void fleet::read_platform(std::size_t index)
{
    processes_.at(index)->reader.read_once();
}

void fleet::run_for(duration span)
{
    auto end_time = clock_.now() + span;
    while (!event_queue_.empty() && event_queue_.top().time <= end_time)
    {
        auto it = event_queue_.top();
        event_queue_.pop();
        clock_.advance_to(it.time);
        it.action();
    }
    clock_.advance_to(end_time);
}

membership_table& fleet::table(std::size_t index)
{
    return processes_.at(index)->table;
}

std::uint64_t fleet::nonce(std::size_t index) const
{
    return processes_.at(index)->table.self().nonce;
}

bool fleet::is_running(std::size_t index) const
{
    return processes_.at(index) != nullptr;
}

std::uint64_t fleet::version(std::size_t index) const
{
    return processes_.at(index)->spread.version_in_force();
}

time_point fleet::version_time(std::size_t index) const
{
    return processes_.at(index)->version_time;
}

bool fleet::has_converged() const
{
    std::size_t running_count = 0;
    for (const auto& it : processes_)
        running_count += it ? 1 : 0;
    for (const auto& it : processes_)
    {
        if (!it)
            continue;
        if (it->table.live_count() != running_count)
            return false;
        for (const auto& other : processes_)
        {
            if (!other)
                continue;
            auto entry = it->table.find_by_nonce(other->table.self().nonce);
            if (!entry || entry->state != member_state::live)
                return false;
        }
    }
    return true;
}

void fleet::schedule_event(time_point time, std::function<void()> action)
{
    event_queue_.push({time, ++last_sequence_, std::move(action)});
}

void fleet::transmit(
    std::size_t sender,
    std::size_t receiver,
    std::uint64_t nonce,
    std::size_t bytes,
    const std::function<void(process&)>& action)
{
    ++counts_.messages;
    counts_.bytes += bytes;
    std::uniform_real_distribution<double> distribution(0.0, 1.0);
    bool is_duplicated = options_.duplicate_rate > 0.0 &&
                         distribution(random_) < options_.duplicate_rate;
    auto data_centre_count = options_.data_centre_count;
    auto delay = sender % data_centre_count == receiver % data_centre_count
                     ? options_.local_delay
                     : options_.remote_delay;
    for (int n = 0; n < (is_duplicated ? 2 : 1); ++n)
    {
        if (options_.loss_rate > 0.0 &&
            distribution(random_) < options_.loss_rate)
            continue;
        auto random_delay = static_cast<duration::rep>(
            random_() % static_cast<std::uint64_t>(options_.jitter.count()));
        schedule_event(
            clock_.now() + delay + duration(random_delay),
            [this, sender, receiver, nonce, action]
            {
                if (!is_connected_ || is_connected_(sender, receiver))
                    deliver(receiver, nonce, action);
            });
    }
}

void fleet::deliver(
    std::size_t receiver,
    std::uint64_t nonce,
    const std::function<void(process&)>& action)
{
    auto* it = processes_.at(receiver).get();
    if (it == nullptr || (nonce != 0 && it->table.self().nonce != nonce))
        return;
    if (it->is_paused)
    {
        it->queued_actions.emplace_back([this, receiver, nonce, action]
                                        { deliver(receiver, nonce, action); });
        return;
    }
    action(*it);
    schedule_timers(receiver);
}

void fleet::run_timers(std::size_t index)
{
    auto* it = processes_.at(index).get();
    if (it == nullptr || it->is_paused || it->timer_time > clock_.now())
        return;
    it->timer_time = time_point::max();
    it->run_timers();
    schedule_timers(index);
}

void fleet::schedule_timers(std::size_t index)
{
    auto& it = *processes_.at(index);
    auto wakeup_time = std::max(it.next_wakeup(), clock_.now());
    if (wakeup_time >= it.timer_time && it.timer_time >= clock_.now())
        return;
    it.timer_time = wakeup_time;
    schedule_event(wakeup_time, [this, index] { run_timers(index); });
}

member fleet::make_member(std::size_t index, std::uint64_t nonce) const
{
    member result;
    result.listen_endpoint.address = "10.0." + std::to_string(index / 250) +
                                     '.' + std::to_string(index % 250 + 1);
    result.listen_endpoint.peer_port = 7000;
    result.listen_endpoint.http_port = 8000;
    result.data_centre =
        "dc" + std::to_string(index % options_.data_centre_count);
    result.index = static_cast<ordinal>(index);
    result.nonce = nonce;
    return result;
}

} // namespace turmericlane::tools
