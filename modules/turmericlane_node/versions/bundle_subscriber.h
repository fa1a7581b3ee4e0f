#pragma once

#include <turmericlane_bundle/turmericlane_bundle.h>

#include <memory>

namespace turmericlane
{

/** Observer that is called on the engine's loop when a bundle version comes
    into force.

    @see version_service
*/
class bundle_subscriber
{
public:
    virtual ~bundle_subscriber() = default;

    /** A version came into force. */
    virtual void
    on_bundle(const std::shared_ptr<const bundle>& bundle_in_force) = 0;
};

} // namespace turmericlane
