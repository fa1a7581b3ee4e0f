#include "version_store.h"

#include "../parse/parse_bundle.h"

#include <algorithm>

namespace turmericlane
{

namespace
{

/** Name of the origin in errors. */
std::string describe(version_origin origin)
{
    if (origin.source == version_source::platform)
        return "platform";
    return "peer " + std::to_string(origin.peer);
}

} // namespace

version_store::version_store(
    trusted_keys trusted, const clock& time, version_listener* listener)
    : trusted_(std::move(trusted))
    , clock_(time)
    , listener_(listener)
{
}

offer_outcome
version_store::offer(std::string_view envelope_text, version_origin origin)
{
    auto offered = parse_envelope(envelope_text, describe(origin));
    if (!offered)
        return refuse(
            reason::bad_bundle, 0, origin, offered.error().to_string());
    return decide(std::move(*offered), origin);
}

offer_outcome
version_store::offer_delta(std::string_view delta_text, version_origin origin)
{
    auto delta = parse_delta(delta_text, describe(origin));
    if (!delta)
        return refuse(reason::bad_bundle, 0, origin, delta.error().to_string());
    if (!envelope_ || delta->base_version != envelope_->version)
        return refuse(
            reason::stale_version, 0, origin,
            describe(origin) + ": delta from version " +
                std::to_string(delta->base_version) + ", but " +
                std::to_string(version()) + " is in force");
    auto offered = apply_delta(*envelope_, *delta);
    if (!offered)
        return refuse(
            reason::bad_bundle, 0, origin,
            describe(origin) + ": " + offered.error().to_string());
    return decide(std::move(*offered), origin);
}

offer_outcome version_store::decide(envelope offered, version_origin origin)
{
    auto number = offered.version;
    auto label = describe(origin) + ": version " + std::to_string(number);
    if (!verify_envelope(offered, trusted_))
        return refuse(
            reason::bad_signature, number, origin,
            label + " has no valid signature of a trusted key, signer " +
                to_hex(offered.signer));
    if (number < version())
        return refuse(
            reason::stale_version, number, origin,
            label + " is lower than " + std::to_string(version()) +
                ", which is in force");
    if (number == version() && offered.canonical_bundle != envelope_->canonical_bundle)
        return refuse(
            reason::version_conflict, number, origin,
            label + " has other content than the same version in force");
    if (number == version())
    {
        note_confirmation(origin);
        return {offer_result::unchanged, reason::none, {}};
    }
    auto content = parse_bundle(offered.canonical_bundle, describe(origin));
    if (!content)
        return refuse(
            reason::bad_bundle, number, origin, content.error().to_string());
    return accept(std::move(offered), std::move(*content), origin);
}

offer_outcome version_store::refuse(
    reason why,
    std::uint64_t version,
    version_origin origin,
    std::string detail)
{
    if (listener_ != nullptr)
        listener_->version_refused(why, version, origin, detail);
    return {offer_result::refused, why, std::move(detail)};
}

offer_outcome
version_store::accept(envelope offered, bundle content, version_origin origin)
{
    assert(content.version > version());
    if (envelope_)
        earlier_.push_back(envelope_);
    if (earlier_.size() > kept_versions)
        earlier_.erase(earlier_.begin());
    envelope_ = std::make_shared<const envelope>(std::move(offered));
    bundle_ = std::make_shared<const bundle>(std::move(content));
    origin_ = origin;
    accepted_at_ = clock_.now();
    note_confirmation(origin);
    if (listener_ != nullptr)
        listener_->version_accepted(bundle_, origin);
    return {offer_result::accepted, reason::none, {}};
}

void version_store::note_confirmation(version_origin origin)
{
    confirmed_at_ = clock_.now();
    if (origin.source == version_source::peer)
        confirmed_ = true;
}

bool version_store::on_peer_version(ordinal peer, std::uint64_t version)
{
    if (version > this->version())
        return true;
    if (bundle_)
        note_confirmation(version_origin::from_peer(peer));
    return false;
}

void version_store::on_platform_unchanged()
{
    if (bundle_)
        note_confirmation(version_origin::from_platform());
}

void version_store::on_pause_detected()
{
    confirmed_ = false;
}

std::shared_ptr<const bundle> version_store::in_force() const
{
    return bundle_;
}

std::shared_ptr<const envelope> version_store::in_force_envelope() const
{
    return envelope_;
}

std::uint64_t version_store::version() const noexcept
{
    return bundle_ ? bundle_->version : 0;
}

duration version_store::age() const
{
    return bundle_ ? clock_.now() - accepted_at_ : duration::zero();
}

duration version_store::since_confirmed() const
{
    return bundle_ ? clock_.now() - confirmed_at_ : duration::zero();
}

version_origin version_store::origin() const noexcept
{
    return origin_;
}

bool version_store::confirmed() const noexcept
{
    return confirmed_;
}

std::optional<bundle_delta>
version_store::delta_from(std::uint64_t base_version) const
{
    auto is_base = [&](const std::shared_ptr<const envelope>& it)
    { return it->version == base_version; };
    auto found = std::find_if(earlier_.begin(), earlier_.end(), is_base);
    if (found == earlier_.end())
        return std::nullopt;
    return make_delta(**found, *envelope_);
}

} // namespace turmericlane
