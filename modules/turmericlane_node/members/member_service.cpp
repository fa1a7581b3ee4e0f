#include "member_service.h"

#include "../log/event.h"
#include "instance_list.h"

namespace turmericlane
{

namespace
{

constexpr std::chrono::milliseconds list_timeout{2000};

} // namespace

member_service::member_service(
    const node_settings& settings,
    std::uint64_t nonce,
    instance_counters& counters)
    : settings_(settings)
    , nonce_(nonce)
    , counters_(counters)
    , list_(settings.instance_list)
{
}

member_service::~member_service() = default;

std::optional<std::string> member_service::start(kernel& owner)
{
    engine_ = owner.find_as<engine>("engine");
    peers_ = owner.find_as<peer_service>("peers");
    member self;
    self.listen_endpoint = {
        settings_.address, settings_.peer_port, settings_.http_port};
    self.data_centre = settings_.data_centre;
    self.index = settings_.index;
    self.nonce = nonce_;
    engine_->call(
        [&]
        {
            table_ = std::make_unique<membership_table>(
                self, membership_limits(), nonce_, engine_->time(), *this);
            next_list_read_ = engine_->time().now();
            settle_at_ = next_list_read_ + settings_.startup_limit;
        });
    list_.start();
    peers_->subscribe(*this);
    engine_->add(*this);
    return std::nullopt;
}

void member_service::stop()
{
    list_.stop();
}

bool member_service::is_usable(ordinal owner) const
{
    if (owner == settings_.index)
        return true;
    return owner < usable_.size() && usable_[owner];
}

instance_answer member_service::answer()
{
    instance_answer_limits limits;
    limits.lifetime = settings_.answer_lifetime;
    return make_instance_answer(
        *table_, settings_.nearest_data_centres, rotation_++, limits);
}

std::size_t member_service::peer_count() const
{
    return table_->members().size();
}

time_point member_service::on_turn()
{
    const auto now = engine_->time().now();
    if (now >= table_->next_wakeup())
        table_->on_timer();
    if (now >= next_list_read_ && !list_reading_)
        read_list();
    // on_member_changed is called from inside the table, which must not be
    // asked then.
    for (auto it : std::exchange(to_refresh_, {}))
        refresh(it);
    if (!settled_)
        update_settled(now);
    return std::min(table_->next_wakeup(), next_list_read_);
}

void member_service::update_settled(time_point now)
{
    auto all_connected = list_answered_;
    for (const auto& it : table_->members())
        if (it.state == member_state::live && !peers_->connected(it.index))
            all_connected = false;
    settled_ = now >= settle_at_ ||
               (all_connected && table_->members().size() + 1 >= listed_count_);
}

void member_service::on_pause(duration)
{
    const auto now = engine_->time().now();
    next_list_read_ = now;
    list_answered_ = false;
    settled_ = false;
    settle_at_ = now + settings_.startup_limit;
}

void member_service::on_peer_connected(const peer_identity& peer)
{
    table_->on_contact(peer.nonce);
    to_refresh_.push_back(peer.instance);
}

void member_service::on_peer_lost(const peer_identity& peer)
{
    to_refresh_.push_back(peer.instance);
}

void member_service::on_peer_seen(const message_header& header)
{
    table_->on_contact(header.nonce);
}

void member_service::on_message(
    const message_header&, const membership_message& message)
{
    table_->on_message(message);
}

void member_service::send(const endpoint& to, const membership_message& message)
{
    const peer_address where{to.address, to.peer_port};
    peers_->connect(where);
    peers_->send(where, message);
}

void member_service::on_member_changed(const member& value)
{
    log_event(
        event::member_changed,
        {{"ordinal", std::to_string(value.index)},
         {"nonce", std::to_string(value.nonce)},
         {"state", std::string(to_string(value.state))}});
    const peer_address where{
        value.listen_endpoint.address, value.listen_endpoint.peer_port};
    if (value.state != member_state::gone)
        peers_->connect(where);
    to_refresh_.push_back(value.index);
}

void member_service::on_process_paused(duration)
{
    // The engine notices the same pause and tells every service.
}

void member_service::refresh(ordinal index)
{
    if (index >= usable_.size())
        usable_.resize(index + 1);
    const auto found = table_->find_by_ordinal(index);
    usable_[index] =
        found && found->state == member_state::live && peers_->connected(index);
}

void member_service::read_list()
{
    counters_.count_platform_read();
    list_reading_ = true;
    next_list_read_ = engine_->time().now() + settings_.list_period;
    list_.get(
        "/v1/instances", list_timeout,
        [this](platform_answer answer)
        {
            engine_->post([this, answer = std::move(answer)]
                          { on_list_answer(answer); });
        });
}

void member_service::on_list_answer(const platform_answer& answer)
{
    list_reading_ = false;
    auto detail = answer.error;
    if (answer.status == 200)
    {
        const auto entries = parse_instance_list(answer.body);
        if (entries)
        {
            table_->on_instance_list(*entries);
            list_answered_ = true;
            listed_count_ = entries->size();
            if (std::exchange(list_failed_, false))
                log_event(event::instance_list_restored, {});
            return;
        }
        detail = entries.error();
    }
    else if (detail.empty())
        detail = "HTTP status " + std::to_string(answer.status);
    if (!std::exchange(list_failed_, true))
        log_event(event::instance_list_failed, {{"detail", detail}});
}

} // namespace turmericlane
