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
    const instance_settings& settings,
    std::uint64_t nonce,
    instance_counters& counters)
    : settings_(settings)
    , nonce_(nonce)
    , counters_(counters)
    , list_client_(settings.instance_list)
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
    engine_->run_and_wait(
        [&]
        {
            table_ = std::make_unique<membership_table>(
                self, membership_limits(), nonce_, engine_->time_source(),
                *this);
            next_list_read_ = engine_->time_source().now();
            ready_deadline_ = next_list_read_ + settings_.startup_limit;
        });
    list_client_.start();
    peers_->subscribe(*this);
    engine_->add(*this);
    return std::nullopt;
}

void member_service::stop()
{
    list_client_.stop();
}

bool member_service::is_usable(ordinal owner) const
{
    if (owner == settings_.index)
        return true;
    return owner < usable_owners_.size() && usable_owners_[owner];
}

instance_answer member_service::make_answer()
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

time_point member_service::on_iteration()
{
    const auto now = engine_->time_source().now();
    if (now >= table_->next_wakeup())
        table_->on_timer();
    if (now >= next_list_read_ && !is_reading_list_)
        read_list();
    // on_member_changed is called from inside the table and must not call it
    // back, so the lookup is done here.
    for (auto it : std::exchange(changed_ordinals_, {}))
        update_usable_owner(it);
    if (!is_ready_)
        update_readiness(now);
    return std::min(table_->next_wakeup(), next_list_read_);
}

void member_service::update_readiness(time_point now)
{
    auto are_all_connected = has_read_list_;
    for (const auto& it : table_->members())
        if (it.state == member_state::live && !peers_->is_connected(it.index))
            are_all_connected = false;
    is_ready_ =
        now >= ready_deadline_ ||
        (are_all_connected && table_->members().size() + 1 >= list_size_);
}

void member_service::on_pause(duration)
{
    const auto now = engine_->time_source().now();
    next_list_read_ = now;
    has_read_list_ = false;
    is_ready_ = false;
    ready_deadline_ = now + settings_.startup_limit;
}

void member_service::on_peer_connected(const peer_identity& peer)
{
    table_->on_contact(peer.nonce);
    changed_ordinals_.push_back(peer.instance);
}

void member_service::on_peer_disconnected(const peer_identity& peer)
{
    changed_ordinals_.push_back(peer.instance);
}

void member_service::on_any_message(const message_header& header)
{
    table_->on_contact(header.nonce);
}

void member_service::on_message(
    const message_header&, const membership_message& message)
{
    table_->on_message(message);
}

void member_service::send(
    const endpoint& destination, const membership_message& message)
{
    const peer_address address{destination.address, destination.peer_port};
    peers_->connect(address);
    peers_->send(address, message);
}

void member_service::on_member_changed(const member& record)
{
    log_event(
        event::member_changed,
        {{"ordinal", std::to_string(record.index)},
         {"nonce", std::to_string(record.nonce)},
         {"state", std::string(to_string(record.state))}});
    const peer_address address{
        record.listen_endpoint.address, record.listen_endpoint.peer_port};
    if (record.state != member_state::gone)
        peers_->connect(address);
    changed_ordinals_.push_back(record.index);
}

void member_service::on_process_paused(duration)
{
    // The engine detects the same pause and calls on_pause of each component.
}

void member_service::update_usable_owner(ordinal index)
{
    if (index >= usable_owners_.size())
        usable_owners_.resize(index + 1);
    const auto record = table_->find_by_ordinal(index);
    usable_owners_[index] = record && record->state == member_state::live &&
                            peers_->is_connected(index);
}

void member_service::read_list()
{
    counters_.count_platform_read();
    is_reading_list_ = true;
    next_list_read_ = engine_->time_source().now() + settings_.list_period;
    list_client_.get(
        "/v1/instances", list_timeout,
        [this](platform_answer answer)
        {
            engine_->post([this, answer = std::move(answer)]
                          { on_list_answer(answer); });
        });
}

void member_service::on_list_answer(const platform_answer& answer)
{
    is_reading_list_ = false;
    auto detail = answer.error;
    if (answer.status == 200)
    {
        const auto entries = parse_instance_list(answer.body);
        if (entries)
        {
            table_->on_instance_list(*entries);
            has_read_list_ = true;
            list_size_ = entries->size();
            if (std::exchange(has_list_failed_, false))
                log_event(event::instance_list_restored, {});
            return;
        }
        detail = entries.error();
    }
    else if (detail.empty())
        detail = "HTTP status " + std::to_string(answer.status);
    if (!std::exchange(has_list_failed_, true))
        log_event(event::instance_list_failed, {{"detail", detail}});
}

} // namespace turmericlane
