#pragma once

namespace turmericlane
{

/** Bounds retries or hedges to a share of the first attempts: each first
    attempt earns a part of a token, and each extra attempt costs one.

    @see dispatch_engine
*/
class token_budget
{
public:
    /** @param initial   tokens at the start
        @param capacity  tokens that can be saved at most; it bounds a burst */
    constexpr token_budget(double initial, double capacity)
        : tokens_(initial)
        , capacity_(capacity)
    {
    }

    /** A first attempt was sent.
        @param ratio  extra attempts allowed for each first attempt */
    void earn(double ratio);

    /** Takes a token.
        @returns false if there is none */
    bool try_take();

    /** True if try_take would succeed. */
    bool can_take() const;

    /** Share of the capacity that is saved, 0 to 1. */
    double fill() const;

private:
    double tokens_;
    double capacity_;
};

} // namespace turmericlane
