#include "fleet.h"

#include <cassert>

namespace turmericlane::tools
{

namespace
{

// Frame header, common message header and MAC.
constexpr std::size_t frame_bytes = 72;

} // namespace

class fleet::process final : public membership_actions,
                             public version_spread_actions,
                             public platform_actions
{
public:
    process(fleet& owner, std::size_t node, const member& self)
        : owner_(owner)
        , node_(node)
        , table(
              self, owner.options_.membership, self.nonce, owner.clock_, *this)
        , spread(owner.options_.versions, self.nonce, owner.clock_, *this)
        , reader(owner.options_.platform, self.nonce, owner.clock_, *this)
    {
    }

    void send(const endpoint& to, const membership_message& message) override
    {
        auto found = owner_.by_address_.find(to.address);
        if (found == owner_.by_address_.end())
            return;
        auto bytes = encoded_bytes(message);
        if (message.kind >= membership_message::type::exchange)
            owner_.counts_.exchange_bytes += bytes;
        auto version = spread.version_in_force();
        owner_.transmit(
            node_, found->second, 0, bytes,
            [message, version](process& it)
            {
                it.table.on_message(message);
                it.spread.on_version_seen(message.sender.nonce, version);
            });
    }

    void on_member_changed(const member&) override
    {
        readers_changed_ = true;
    }

    void on_process_paused(duration) override
    {
        ++owner_.counts_.pauses;
        reader.read_once();
    }

    std::vector<std::uint64_t> sample(std::size_t count) override
    {
        std::vector<std::uint64_t> made;
        for (const auto& it : table.sample(count))
            made.push_back(it.nonce);
        return made;
    }

    void push(std::uint64_t peer, std::uint64_t version) override
    {
        give(peer, version);
    }

    void request(std::uint64_t peer, std::uint64_t in_force) override
    {
        auto self = table.self().nonce;
        to_peer(
            peer, frame_bytes,
            [self, in_force](process& it)
            {
                if (it.spread.version_in_force() > in_force)
                    it.give(self, it.spread.version_in_force());
            });
    }

    void read(std::uint64_t after, duration wait) override
    {
        ++owner_.counts_.platform_reads;
        poll(after, owner_.clock_.now() + wait);
    }

    void accept(std::uint64_t version, std::uint64_t from)
    {
        if (version <= spread.version_in_force())
        {
            ++owner_.counts_.not_higher;
            if (from != 0)
                spread.on_request_failed(from);
            return;
        }
        since = owner_.clock_.now();
        reader.set_version_in_force(version);
        spread.on_version_in_force(version, from);
    }

    void wake()
    {
        table.on_timer();
        if (std::exchange(readers_changed_, false))
            reader.set_watching(table.is_reader());
        spread.on_timer();
        reader.on_timer();
    }

    time_point next_wakeup() const
    {
        auto soonest = std::min(table.next_wakeup(), spread.next_wakeup());
        return std::min(soonest, reader.next_wakeup());
    }

private:
    void to_peer(
        std::uint64_t peer,
        std::size_t bytes,
        const std::function<void(process&)>& act)
    {
        auto found = table.find_by_nonce(peer);
        if (!found)
            return;
        auto to = owner_.by_address_.at(found->listen_endpoint.address);
        owner_.transmit(node_, to, peer, bytes, act);
    }

    void give(std::uint64_t peer, std::uint64_t version)
    {
        auto self = table.self().nonce;
        to_peer(
            peer, frame_bytes + owner_.options_.bundle_bytes,
            [self, version](process& it) { it.accept(version, self); });
    }

    /** The long poll, answered some milliseconds after a publication. */
    void poll(std::uint64_t after, time_point until)
    {
        constexpr auto step = std::chrono::milliseconds(5);
        auto self = table.self().nonce;
        auto node = node_;
        auto& owner = owner_;
        owner.at(
            owner.clock_.now() + step,
            [&owner, node, self, after, until]
            {
                auto answer = [&owner, after, until](process& it)
                {
                    bool done = !owner.platform_up_ ||
                                owner.published_ > after ||
                                owner.clock_.now() >= until;
                    if (!done)
                        return it.poll(after, until);
                    if (!owner.platform_up_)
                        return it.reader.on_failure();
                    if (owner.published_ > after)
                        it.accept(owner.published_, 0);
                    it.reader.on_answer();
                };
                owner.arrive(node, self, answer);
            });
    }

    fleet& owner_;
    std::size_t node_;
    bool readers_changed_ = true;

public:
    membership_table table;
    version_spread spread;
    platform_reader reader;
    time_point since{};
    time_point scheduled = time_point::max();
    bool stopped = false;
    std::deque<std::function<void()>> waiting;
};

fleet::fleet(const fleet_options& options)
    : options_(options)
    , random_(options.seed)
    , nodes_(options.nodes)
{
    for (std::size_t n = 0; n < options.nodes; ++n)
        by_address_[describe(n, 1).listen_endpoint.address] = n;
}

fleet::~fleet() = default;

void fleet::start(std::size_t node)
{
    assert(!nodes_.at(node));
    auto nonce = random_() | 1U;
    nodes_[node] =
        std::make_unique<process>(*this, node, describe(node, nonce));
    // Processes do not start in step.
    auto delay = options_.membership.period.count();
    auto first = duration(static_cast<duration::rep>(random_() % delay));
    at(clock_.now() + first,
       [this, node, nonce] { arrive(node, nonce, [](process&) {}); });
}

void fleet::crash(std::size_t node)
{
    nodes_.at(node).reset();
}

void fleet::pause(std::size_t node)
{
    nodes_.at(node)->stopped = true;
}

void fleet::resume(std::size_t node)
{
    auto& it = *nodes_.at(node);
    it.stopped = false;
    auto waiting = std::exchange(it.waiting, {});
    for (const auto& act : waiting)
        act();
    schedule(node);
}

void fleet::connect_if(std::function<bool(std::size_t, std::size_t)> predicate)
{
    connected_ = std::move(predicate);
}

void fleet::set_faults(double loss, double doubles)
{
    options_.loss = loss;
    options_.doubles = doubles;
}

void fleet::publish(std::uint64_t version)
{
    published_ = version;
}

void fleet::set_platform_up(bool up)
{
    platform_up_ = up;
}

void fleet::read_list(std::size_t node)
{
    std::vector<listed_instance> listed;
    for (std::size_t n = 0; n < nodes_.size(); ++n)
    {
        if (!nodes_[n])
            continue;
        auto it = describe(n, 1);
        listed.push_back({it.listen_endpoint, it.data_centre, it.index, false});
    }
    nodes_.at(node)->table.on_instance_list(listed);
}

void fleet::read_platform(std::size_t node)
{
    nodes_.at(node)->reader.read_once();
}

void fleet::run_for(duration span)
{
    auto end = clock_.now() + span;
    while (!queue_.empty() && queue_.top().when <= end)
    {
        auto it = queue_.top();
        queue_.pop();
        clock_.advance_to(it.when);
        it.act();
    }
    clock_.advance_to(end);
}

membership_table& fleet::table(std::size_t node)
{
    return nodes_.at(node)->table;
}

std::uint64_t fleet::nonce(std::size_t node) const
{
    return nodes_.at(node)->table.self().nonce;
}

bool fleet::runs(std::size_t node) const
{
    return nodes_.at(node) != nullptr;
}

std::uint64_t fleet::version(std::size_t node) const
{
    return nodes_.at(node)->spread.version_in_force();
}

time_point fleet::version_since(std::size_t node) const
{
    return nodes_.at(node)->since;
}

bool fleet::agreed() const
{
    std::size_t running = 0;
    for (const auto& it : nodes_)
        running += it ? 1 : 0;
    for (const auto& it : nodes_)
    {
        if (!it)
            continue;
        if (it->table.live_count() != running)
            return false;
        for (const auto& other : nodes_)
        {
            if (!other)
                continue;
            auto seen = it->table.find_by_nonce(other->table.self().nonce);
            if (!seen || seen->state != member_state::live)
                return false;
        }
    }
    return true;
}

void fleet::at(time_point when, std::function<void()> act)
{
    queue_.push({when, ++last_order_, std::move(act)});
}

void fleet::transmit(
    std::size_t from,
    std::size_t to,
    std::uint64_t nonce,
    std::size_t bytes,
    const std::function<void(process&)>& act)
{
    ++counts_.messages;
    counts_.bytes += bytes;
    std::uniform_real_distribution<double> draw(0.0, 1.0);
    bool doubled = options_.doubles > 0.0 && draw(random_) < options_.doubles;
    auto centres = options_.data_centres;
    auto delay = from % centres == to % centres ? options_.near_delay
                                                : options_.far_delay;
    for (int n = 0; n < (doubled ? 2 : 1); ++n)
    {
        if (options_.loss > 0.0 && draw(random_) < options_.loss)
            continue;
        auto extra = static_cast<duration::rep>(
            random_() % static_cast<std::uint64_t>(options_.jitter.count()));
        at(clock_.now() + delay + duration(extra),
           [this, from, to, nonce, act]
           {
               if (!connected_ || connected_(from, to))
                   arrive(to, nonce, act);
           });
    }
}

void fleet::arrive(
    std::size_t to,
    std::uint64_t nonce,
    const std::function<void(process&)>& act)
{
    auto* it = nodes_.at(to).get();
    if (it == nullptr || (nonce != 0 && it->table.self().nonce != nonce))
        return;
    if (it->stopped)
    {
        it->waiting.emplace_back([this, to, nonce, act]
                                 { arrive(to, nonce, act); });
        return;
    }
    act(*it);
    schedule(to);
}

void fleet::wake(std::size_t node)
{
    auto* it = nodes_.at(node).get();
    if (it == nullptr || it->stopped || it->scheduled > clock_.now())
        return;
    it->scheduled = time_point::max();
    it->wake();
    schedule(node);
}

void fleet::schedule(std::size_t node)
{
    auto& it = *nodes_.at(node);
    auto next = std::max(it.next_wakeup(), clock_.now());
    if (next >= it.scheduled && it.scheduled >= clock_.now())
        return;
    it.scheduled = next;
    at(next, [this, node] { wake(node); });
}

member fleet::describe(std::size_t node, std::uint64_t nonce) const
{
    member made;
    made.listen_endpoint.address = "10.0." + std::to_string(node / 250) + '.' +
                                   std::to_string(node % 250 + 1);
    made.listen_endpoint.peer_port = 7000;
    made.listen_endpoint.http_port = 8000;
    made.data_centre = "dc" + std::to_string(node % options_.data_centres);
    made.index = static_cast<ordinal>(node);
    made.nonce = nonce;
    return made;
}

} // namespace turmericlane::tools
