#include "version_store.h"

#include "../parse/parse_bundle.h"

#include <algorithm>

namespace turmericlane
{

namespace
{

/** Returns the name of an origin for errors. */
std::string describe(version_origin origin)
{
    if (origin.source == version_source::platform)
        return "platform";
    return "peer " + std::to_string(origin.peer);
}

} // namespace

version_store::version_store(
    trusted_keys keys, const clock& time_source, version_listener* listener)
    : trusted_keys_(std::move(keys))
    , clock_(time_source)
    , listener_(listener)
{
}

offer_outcome
version_store::offer(std::string_view envelope_text, version_origin origin)
{
    auto offered_envelope = parse_envelope(envelope_text, describe(origin));
    if (!offered_envelope)
        return refuse(
            reason::bad_bundle, 0, origin,
            offered_envelope.error().to_string());
    return decide_offer(std::move(*offered_envelope), origin);
}

offer_outcome
version_store::offer_delta(std::string_view delta_text, version_origin origin)
{
    auto delta = parse_delta(delta_text, describe(origin));
    if (!delta)
        return refuse(reason::bad_bundle, 0, origin, delta.error().to_string());
    if (!envelope_in_force_ ||
        delta->base_version != envelope_in_force_->version)
        return refuse(
            reason::stale_version, 0, origin,
            describe(origin) + ": delta applies to version " +
                std::to_string(delta->base_version) + ", but " +
                std::to_string(version()) + " is in force");
    if (delta->base_hash != hash_of(envelope_in_force_->canonical_bundle))
        return refuse(
            reason::version_conflict, version(), origin,
            describe(origin) + ": delta applies to other content of version " +
                std::to_string(version()) + ", which is in force");
    auto offered_envelope = apply_delta(*envelope_in_force_, *delta);
    if (!offered_envelope)
        return refuse(
            reason::bad_bundle, 0, origin,
            describe(origin) + ": " + offered_envelope.error().to_string());
    return decide_offer(std::move(*offered_envelope), origin);
}

offer_outcome
version_store::decide_offer(envelope offered_envelope, version_origin origin)
{
    auto offered_version = offered_envelope.version;
    auto description =
        describe(origin) + ": version " + std::to_string(offered_version);
    if (!verify_envelope(offered_envelope, trusted_keys_))
        return refuse(
            reason::bad_signature, offered_version, origin,
            description + " has no valid signature of a trusted key, signer " +
                to_hex(offered_envelope.signer));
    if (offered_version < version())
        return refuse(
            reason::stale_version, offered_version, origin,
            description + " is lower than " + std::to_string(version()) +
                ", which is in force");
    if (offered_version == version() &&
        offered_envelope.canonical_bundle !=
            envelope_in_force_->canonical_bundle)
        return refuse(
            reason::version_conflict, offered_version, origin,
            description +
                " differs from the content of the same version in force");
    if (offered_version == version())
    {
        record_confirmation(origin);
        return {offer_result::unchanged, reason::none, {}, 0};
    }
    auto content =
        parse_bundle(offered_envelope.canonical_bundle, describe(origin));
    if (!content)
        return refuse(
            reason::bad_bundle, offered_version, origin,
            content.error().to_string());
    return accept(std::move(offered_envelope), std::move(*content), origin);
}

offer_outcome version_store::refuse(
    reason cause,
    std::uint64_t version,
    version_origin origin,
    std::string detail)
{
    if (listener_ != nullptr)
        listener_->version_refused(cause, version, origin, detail);
    return {offer_result::refused, cause, std::move(detail), version};
}

offer_outcome version_store::accept(
    envelope offered_envelope, bundle content, version_origin origin)
{
    assert(content.version > version());
    if (envelope_in_force_)
        earlier_envelopes_.push_back(envelope_in_force_);
    if (earlier_envelopes_.size() > max_earlier_envelopes)
        earlier_envelopes_.erase(earlier_envelopes_.begin());
    envelope_in_force_ =
        std::make_shared<const envelope>(std::move(offered_envelope));
    bundle_in_force_ = std::make_shared<const bundle>(std::move(content));
    origin_ = origin;
    accepted_time_ = clock_.now();
    record_confirmation(origin);
    if (listener_ != nullptr)
        listener_->version_accepted(bundle_in_force_, origin);
    return {offer_result::accepted, reason::none, {}, 0};
}

void version_store::record_confirmation(version_origin origin)
{
    confirmation_time_ = clock_.now();
    if (origin.source == version_source::peer)
        is_confirmed_ = true;
}

bool version_store::on_peer_version(ordinal peer, std::uint64_t version)
{
    if (version > this->version())
        return true;
    if (bundle_in_force_)
        record_confirmation(version_origin::from_peer(peer));
    return false;
}

void version_store::on_platform_unchanged()
{
    if (bundle_in_force_)
        record_confirmation(version_origin::from_platform());
}

void version_store::on_pause_detected()
{
    is_confirmed_ = false;
}

std::shared_ptr<const bundle> version_store::bundle_in_force() const
{
    return bundle_in_force_;
}

std::shared_ptr<const envelope> version_store::envelope_in_force() const
{
    return envelope_in_force_;
}

std::uint64_t version_store::version() const noexcept
{
    return bundle_in_force_ ? bundle_in_force_->version : 0;
}

duration version_store::age() const
{
    return bundle_in_force_ ? clock_.now() - accepted_time_ : duration::zero();
}

duration version_store::time_since_confirmation() const
{
    return bundle_in_force_ ? clock_.now() - confirmation_time_
                            : duration::zero();
}

version_origin version_store::origin() const noexcept
{
    return origin_;
}

bool version_store::is_confirmed() const noexcept
{
    return is_confirmed_;
}

std::optional<bundle_delta>
version_store::make_delta_from(std::uint64_t base_version) const
{
    auto is_base = [&](const std::shared_ptr<const envelope>& it)
    { return it->version == base_version; };
    auto base = std::find_if(
        earlier_envelopes_.begin(), earlier_envelopes_.end(), is_base);
    if (base == earlier_envelopes_.end())
        return std::nullopt;
    return make_delta(**base, *envelope_in_force_);
}

} // namespace turmericlane
